"""The reviewers' stand-ins of the platform, with the libraries of the tests."""

import pathlib

import h11

from review.stand import deployment

deployment.DEPENDENCIES = pathlib.Path(h11.__file__).parents[1]
