"""Stand-ins for the platform, its engines, its operator and its clients."""
