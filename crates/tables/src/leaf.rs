use jsonc_parser::ast::Value as Ast;
use serde_json::Value as Json;

use crate::{FieldKind, KeyHash, Millis, Name, RequestRate, Share, field::Value};

/// Reads the value of a field of the given kind.
///
/// # Errors
/// Why the value is not accepted.
pub(crate) fn read_leaf(kind: FieldKind, value: &Ast<'_>) -> Result<Json, String> {
    match kind {
        FieldKind::Name | FieldKind::Host | FieldKind::Path => {
            let text = text(value)?;
            check(kind, Value::Text(text))?;
            Ok(text.into())
        }
        FieldKind::Methods => methods(kind, value),
        FieldKind::Shares => shares(kind, value),
        FieldKind::Choice(list) => {
            let text = text(value)?;
            let known = list.contains(&text);
            known.then(|| text.into()).ok_or_else(|| format!("{text:?} is not known"))
        }
        FieldKind::Count(_) => {
            let count = count(value)?;
            check(kind, Value::Count(count))?;
            Ok(count.into())
        }
        FieldKind::Keys => keys(kind, value),
        FieldKind::Rank(_) => {
            if matches!(value, Ast::NullKeyword(_)) {
                return Ok(Json::Null);
            }
            let count = count(value)?;
            let rank = u32::try_from(count).map_err(|_| format!("{count} is too large"))?;
            check(kind, Value::Rank(Some(rank)))?;
            Ok(rank.into())
        }
        FieldKind::Rate => {
            let Ast::NumberLit(number) = value else {
                return Err(format!("{} is not a number", describe(value)));
            };
            let rate: RequestRate =
                number.value.parse().map_err(|error| format!("{}: {error}", number.value))?;
            serde_json::to_value(rate).map_err(|error| error.to_string())
        }
        FieldKind::Flag => match value {
            Ast::BooleanLit(flag) => Ok(flag.value.into()),
            other => Err(format!("{} is not true or false", describe(other))),
        },
        FieldKind::Time(_) => {
            let text = text(value)?;
            let time: Millis = text.parse().map_err(|_| format!("{text:?} is not a duration"))?;
            check(kind, Value::Time(time))?;
            Ok(text.into())
        }
    }
}

fn check(kind: FieldKind, value: Value<'_>) -> Result<(), String> {
    kind.value_error(value).map_or(Ok(()), Err)
}

fn texts<'a>(value: &'a Ast<'_>) -> Result<Vec<&'a str>, String> {
    let Ast::Array(array) = value else {
        return Err(format!("{} is not a list", describe(value)));
    };
    array.elements.iter().map(text).collect()
}

fn shares(kind: FieldKind, value: &Ast<'_>) -> Result<Json, String> {
    let list = texts(value)?;
    let parsed: Result<Vec<Share>, _> = list.iter().map(|text| text.parse()).collect();
    check(kind, Value::Shares(&parsed.map_err(|error| error.to_string())?))?;
    Ok(list.into())
}

fn methods(kind: FieldKind, value: &Ast<'_>) -> Result<Json, String> {
    let list = texts(value)?;
    let names: Vec<Name> = list.iter().copied().map(Name::new).collect();
    check(kind, Value::List(&names))?;
    Ok(list.into())
}

/// Reads hashes of keys. A value of another type may be a key itself, so that no message quotes one.
fn keys(kind: FieldKind, value: &Ast<'_>) -> Result<Json, String> {
    let Ast::Array(array) = value else { return Err("the value is not a list".to_owned()) };
    let mut list: Vec<KeyHash> = Vec::with_capacity(array.elements.len());
    for (idx, element) in array.elements.iter().enumerate() {
        let number = idx + 1;
        let message = match element {
            Ast::StringLit(text) if text.value.is_empty() => format!("key {number} is empty"),
            Ast::StringLit(text) => match text.value.parse() {
                Ok(hash) => {
                    list.push(hash);
                    continue;
                }
                Err(error) => format!("key {number} is malformed: {error}"),
            },
            _ => format!("key {number} is not a text"),
        };
        return Err(message);
    }
    check(kind, Value::Keys(&list))?;
    serde_json::to_value(list).map_err(|error| error.to_string())
}

fn text<'a>(value: &'a Ast<'_>) -> Result<&'a str, String> {
    match value {
        Ast::StringLit(text) => Ok(&text.value),
        other => Err(format!("{} is not a text", describe(other))),
    }
}

fn count(value: &Ast<'_>) -> Result<u64, String> {
    let Ast::NumberLit(number) = value else {
        return Err(format!("{} is not a whole number", describe(value)));
    };
    let digits = number.value;
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(format!("{digits} is not a whole number"));
    }
    digits.parse().map_err(|_| format!("{digits} is too large"))
}

fn describe(value: &Ast<'_>) -> String {
    match value {
        Ast::StringLit(text) => format!("{:?}", text.value),
        Ast::NumberLit(number) => format!("the number {}", number.value),
        Ast::BooleanLit(boolean) => boolean.value.to_string(),
        Ast::Object(_) => "an object".to_owned(),
        Ast::Array(_) => "a list".to_owned(),
        Ast::NullKeyword(_) => "null".to_owned(),
    }
}
