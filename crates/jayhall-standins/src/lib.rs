//! Small stand-ins for the systems that jayhall meets.
