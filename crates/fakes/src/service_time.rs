use std::time::Duration;

use derive_more::From;
use rand::Rng;

/// The distribution of the time that a target works on a request.
#[derive(Clone, Copy, Debug, From, PartialEq)]
pub enum ServiceTime {
    /// A constant time.
    #[from]
    Fixed(Duration),
    /// Uniformly distributed between two times.
    Uniform {
        /// The shortest time.
        from: Duration,
        /// The longest time.
        to: Duration,
    },
    /// Exponentially distributed, capped at ten times the mean.
    Exponential {
        /// The mean before capping.
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
