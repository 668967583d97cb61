"""Small stand-ins for endpoints: a model engine and a booking desk."""
