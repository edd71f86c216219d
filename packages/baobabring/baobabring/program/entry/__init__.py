"""Program of an entry instance on the users' platform."""
