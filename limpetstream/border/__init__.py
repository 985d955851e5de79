"""Common parts of HTTP servers: authentication, limits and error replies."""
