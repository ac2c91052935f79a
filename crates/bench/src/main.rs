//! The benches.
fn main() {}
