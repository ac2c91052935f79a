//! Small stand-ins for tests, demo and benches: the platform and targets.
