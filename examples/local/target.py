"""A target: any HTTP server that answers ``POST /tasks/{job}/{task}`` can be one."""

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class QuoteHandler(BaseHTTPRequestHandler):
    """Answers each task with a price."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:  # noqa: N802
        """Run one task: the body is the task's, the answer's body is the answer."""
        body = self.rfile.read(int(self.headers["Content-Length"])).decode()
        self._answer(f"{body}: {20 + len(body)} reais")

    def do_DELETE(self) -> None:  # noqa: N802
        """Stop a task; these are over too soon for that."""
        self._answer("")

    def log_message(self, *arguments: object) -> None:
        """Write nothing."""

    def _answer(self, text: str) -> None:
        data = text.encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


if __name__ == "__main__":
    ThreadingHTTPServer(("127.0.0.1", 8090), QuoteHandler).serve_forever()
