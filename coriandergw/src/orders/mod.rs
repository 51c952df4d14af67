//! Orders to engines: load a model, change a role, release memory.
