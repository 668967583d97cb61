"""HTTP/1.1 over sockets, as server and as client, by h11."""
