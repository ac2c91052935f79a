//! The daemon program.
fn main() {}
