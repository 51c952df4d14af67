//! Which waiting call goes next.
