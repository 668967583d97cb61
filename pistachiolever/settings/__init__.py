"""Settings of a process, and validation of JSON documents."""
