use dw_tables::{KeyHash, MAX_KEY_BYTES};

/// The authentication scheme of a workspace key, compared without regard to case (RFC 6750).
const SCHEME: &[u8] = b"bearer";

/// What the `Authorization` headers of a request contain. A key is held as its hash only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credentials {
    /// Nothing that concerns workspaces: no header, or other schemes only.
    #[default]
    None,
    /// One well-formed key.
    Key(KeyHash),
    /// A bearer key that is empty, too long, malformed or not the only credential.
    Malformed,
}

impl Credentials {
    /// Reads the values of all `Authorization` headers of a request.
    ///
    /// Costs one hash of at most [`MAX_KEY_BYTES`] bytes; longer values are not hashed.
    pub fn read<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        let Some(first) = values.next() else { return Self::None };
        if let Some(second) = values.next() {
            let mut all = [first, second].into_iter().chain(values);
            return if all.any(mentions_scheme) { Self::Malformed } else { Self::None };
        }
        match key_of(first) {
            Some(key) if key.len() <= MAX_KEY_BYTES => {
                KeyHash::of(key).map_or(Self::Malformed, Self::Key)
            }
            Some(_) => Self::Malformed,
            None if mentions_scheme(first) => Self::Malformed,
            None => Self::None,
        }
    }
}

/// The key in a value of the bearer scheme.
fn key_of(value: &[u8]) -> Option<&[u8]> {
    let end = value.iter().position(|byte| *byte == b' ')?;
    let (scheme, rest) = value.split_at(end);
    scheme.eq_ignore_ascii_case(SCHEME).then(|| rest.trim_ascii_start())
}

/// Whether the value names the bearer scheme anywhere, such as after a comma or without a key. Such a
/// value may contain a key and must not reach a target.
fn mentions_scheme(value: &[u8]) -> bool {
    value.windows(SCHEME.len()).any(|part| part.eq_ignore_ascii_case(SCHEME))
}
