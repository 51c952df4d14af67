//! Which instance addresses callers are told to use.
