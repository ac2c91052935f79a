use std::{fmt, str::FromStr, time::Duration};

/// Longest text of a rate; what is longer is no number that a person or a program meant to write.
const MAX_TEXT: usize = 32;

const MILLIS: f64 = 1000.0;

/// Requests a second that a target takes from all callers together, as it names them itself.
///
/// Counted in thousandths, so that rates can be compared; larger values than fit count as the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate {
    millis: u32,
}

/// The text is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a rate is a decimal number of requests a second, such as 31.5")]
pub struct ParseRateError;

impl Rate {
    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.millis) / MILLIS
    }

    /// Time between two requests at this rate, or `longest` if that is shorter.
    #[must_use]
    pub fn interval(self, longest: Duration) -> Duration {
        match self.millis {
            0 => longest,
            _ => Duration::from_secs_f64(1.0 / self.per_second()).min(longest),
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl FromStr for Rate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let plain = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        if text.len() > MAX_TEXT || !text.bytes().all(plain) {
            return Err(ParseRateError);
        }
        let value: f64 = text.parse().map_err(|_| ParseRateError)?;
        // The conversion saturates, and a rate below a thousandth counts as none at all.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let millis = (value * MILLIS) as u32;
        Ok(Self { millis })
    }
}
