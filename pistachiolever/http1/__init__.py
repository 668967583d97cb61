"""An HTTP/1.1 server and client over sockets, based on h11."""
