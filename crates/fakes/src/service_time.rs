use std::time::Duration;

use derive_more::From;
use rand::Rng;

/// How long a target works on a request.
#[derive(Clone, Copy, Debug, From, PartialEq)]
pub enum ServiceTime {
    /// Always the same.
    #[from]
    Fixed(Duration),
    /// Uniform between two times.
    Uniform {
        /// The shortest.
        from: Duration,
        /// The longest.
        to: Duration,
    },
    /// Exponential, cut at ten times the mean.
    Exponential {
        /// The mean.
        mean: Duration,
    },
}

impl ServiceTime {
    pub(crate) fn draw(self, random: &mut impl Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Uniform { from, to } => {
                from + to.saturating_sub(from).mul_f64(random.random::<f64>())
            }
            Self::Exponential { mean } => {
                // `random` is in [0, 1), so the argument of the logarithm is never zero.
                mean.mul_f64((-(1.0 - random.random::<f64>()).ln()).min(10.0))
            }
        }
    }
}
