"""HTTP/1.1 connections to callers and targets; message bytes are not altered."""
