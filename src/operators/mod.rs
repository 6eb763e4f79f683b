//! The HTTP listener for the console and the command line.
