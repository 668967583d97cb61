"""Stand-ins for endpoints, for tests and demos: a model engine and a booking desk."""
