"""A whole deployment on one machine, driven by the tool."""
