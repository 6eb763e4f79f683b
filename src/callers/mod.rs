//! The HTTP listener that customers connect to.
