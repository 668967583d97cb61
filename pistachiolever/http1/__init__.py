"""An HTTP/1.1 server and client over sockets, as strict as h11."""
