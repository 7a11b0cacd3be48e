"""An administration API with scripted responses, for tests of `cassiapitch`."""

import contextlib
import http.server
import json
import threading

# A scripted response with this status closes the connection without a response.
NO_ANSWER = 0


@contextlib.contextmanager
def serve(*responses):
    """Serves the responses, pairs (status, document), in turn and repeats the last.

    Yields:
        The port, and the list of received requests: (method, path, headers, body).
    """
    remaining_responses = list(responses)
    received = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def _respond(self):
            length = int(self.headers.get("content-length", 0))
            body = self.rfile.read(length)
            received.append((self.command, self.path, dict(self.headers), body))
            status, document = (
                remaining_responses.pop(0)
                if len(remaining_responses) > 1
                else remaining_responses[0]
            )
            if status == NO_ANSWER:
                self.close_connection = True
                return
            data = json.dumps(document).encode()
            self.send_response(status)
            self.send_header("content-length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = _respond  # noqa: N815

        def log_message(self, *_):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield server.server_address[1], received
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
