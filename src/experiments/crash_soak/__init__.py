"""A soak of requests that crash targets, beside crashes, releases and lost boxes."""
