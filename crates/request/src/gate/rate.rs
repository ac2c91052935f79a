use std::{fmt, str::FromStr, time::Duration};

/// Maximum length of the text of a rate; a longer text is not a plausible number.
const MAX_TEXT_BYTES: usize = 32;

const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

/// Requests per second that a target accepts from all callers together, as advertised by the target.
///
/// Stored in thousandths, so that rates can be compared exactly; values that don't fit saturate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate {
    thousandths: u32,
}

/// Error for a text that is not a valid [`Rate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a rate must be a decimal number of requests per second, such as 31.5")]
pub struct ParseRateError;

impl Rate {
    /// The rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / THOUSANDTHS_PER_UNIT
    }

    /// Time between two requests at this rate, at most `longest`.
    #[must_use]
    pub fn interval(self, longest: Duration) -> Duration {
        match self.thousandths {
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
        let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        if text.len() > MAX_TEXT_BYTES || !text.bytes().all(is_decimal) {
            return Err(ParseRateError);
        }
        let value: f64 = text.parse().map_err(|_| ParseRateError)?;
        // The conversion saturates; a rate below one thousandth becomes zero.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let thousandths = (value * THOUSANDTHS_PER_UNIT) as u32;
        Ok(Self { thousandths })
    }
}
