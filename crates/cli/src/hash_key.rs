use std::io::BufRead;

use dw_tables::{KeyHash, MAX_KEY_BYTES};
use secrecy::{ExposeSecret, ExposeSecretMut, SecretBox};
use serde_json::{Value as Json, json};

use crate::{Console, Exit, Failure};

/// A key that is longer than allowed, and its line end.
const MAX_INPUT_BYTES: usize = MAX_KEY_BYTES + 3;

/// Prints the hash of the key on the first line of `input`. A command line would show the key to other
/// processes, and the shell would store it.
///
/// # Errors
/// Fails if the input cannot be read or is not a key. The error does not contain the key.
pub fn hash_key(input: impl BufRead, console: &mut Console) -> Result<Json, Failure> {
    // Allocated once, because a growing buffer would leave copies of the key in memory.
    let mut buffer = SecretBox::new(Box::new(Vec::with_capacity(MAX_INPUT_BYTES)));
    let read = input
        .take(u64::try_from(MAX_INPUT_BYTES).unwrap_or(u64::MAX))
        .read_until(b'\n', buffer.expose_secret_mut());
    read.map_err(|error| {
        Failure::new(Exit::Failed, format!("standard input cannot be read: {error}"))
    })?;
    let line = buffer.expose_secret();
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    let key = line.strip_suffix(b"\r").unwrap_or(line);
    let hash = KeyHash::of(key)
        .map_err(|error| Failure::new(Exit::Failed, format!("{error}; no hash is printed")))?;
    let hash = hash.to_hex();
    console.print_line(&hash);
    Ok(json!({ "hash": hash }))
}
