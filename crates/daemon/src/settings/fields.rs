use std::{fmt::Display, net::SocketAddr, str::FromStr};

use dw_tables::{Finding, Findings, Kind, Millis, Name, Place, name_fault};
use jsonc_parser::{
    ast::{Array, Object, Value},
    common::Ranged,
};

/// Reads fields from the syntax tree of a settings file and collects findings with their lines.
pub(super) struct FieldReader<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
    pub(super) findings: Findings,
}

impl FieldReader<'_> {
    pub(super) fn report(&mut self, offset: usize, name: &str, message: &str, accepted: &str) {
        let line = 1 + self.text.bytes().take(offset).filter(|b| *b == b'\n').count();
        self.findings.push(Finding {
            place: Place { file: self.file.to_owned(), line, row: 0 },
            name: name.to_owned(),
            message: message.to_owned(),
            accepted: accepted.to_owned(),
        });
    }

    /// Reports the unknown and repeated fields of `object`.
    pub(super) fn check_known(&mut self, object: &Object<'_>, names: &[&str]) {
        for (idx, prop) in object.properties.iter().enumerate() {
            let name = prop.name.as_str();
            if !names.contains(&name) {
                self.report(prop.range.start, name, "unknown field", &names.join(", "));
            } else if object.properties[..idx].iter().any(|p| p.name.as_str() == name) {
                self.report(prop.range.start, name, "the field is given twice", "one field");
            }
        }
    }

    pub(super) fn required<T>(
        &mut self,
        object: &Object<'_>,
        name: &str,
        accepted: &str,
        read: impl FnOnce(&mut Self, &str, &Value<'_>) -> Option<T>,
    ) -> Option<T> {
        match object.get(name) {
            Some(prop) => read(self, name, &prop.value),
            None => {
                self.report(object.range.start, name, "the field is missing", accepted);
                None
            }
        }
    }

    /// Reads a field that may be missing into `out`, which then keeps its default.
    pub(super) fn optional<T>(
        &mut self,
        object: &Object<'_>,
        name: &str,
        out: &mut T,
        read: impl FnOnce(&mut Self, &str, &Value<'_>) -> Option<T>,
    ) {
        if let Some(value) = object.get(name).and_then(|prop| read(self, name, &prop.value)) {
            *out = value;
        }
    }

    fn string<'v>(&mut self, name: &str, value: &'v Value<'_>, accepted: &str) -> Option<&'v str> {
        match value.as_string_lit() {
            Some(lit) => Some(&lit.value),
            None => {
                self.report(value.start(), name, "the value is not a string", accepted);
                None
            }
        }
    }

    pub(super) fn name(&mut self, name: &str, value: &Value<'_>) -> Option<Name> {
        // The same rule as for names in tables, so that a pool can name every service.
        let accepted = Kind::Name.accepted();
        let text = self.string(name, value, &accepted)?;
        if let Some(fault) = name_fault(text) {
            self.report(value.start(), name, &fault, &accepted);
            return None;
        }
        Some(Name::new(text))
    }

    pub(super) fn choice<T: FromStr + Display>(
        &mut self,
        name: &str,
        value: &Value<'_>,
        accepted: &str,
    ) -> Option<T> {
        let text = self.string(name, value, accepted)?;
        match text.parse::<T>() {
            // The derived parser ignores case; only the documented spelling is accepted.
            Ok(choice) if choice.to_string() == text => Some(choice),
            _ => {
                self.report(value.start(), name, "the value is not known", accepted);
                None
            }
        }
    }

    pub(super) fn address(&mut self, name: &str, value: &Value<'_>) -> Option<SocketAddr> {
        let accepted = "an IP address and a port, such as \"127.0.0.1:7100\"";
        let text = self.string(name, value, accepted)?;
        match text.parse::<SocketAddr>() {
            Ok(addr) if addr.ip().is_unspecified() => {
                let message = "the address is announced to other hosts and must be a specific one";
                self.report(value.start(), name, message, accepted);
                None
            }
            Ok(addr) => Some(addr),
            Err(_) => {
                self.report(value.start(), name, "the value is not an address", accepted);
                None
            }
        }
    }

    /// Reads the address of another process, whose port cannot be 0.
    pub(super) fn remote_address(&mut self, name: &str, value: &Value<'_>) -> Option<SocketAddr> {
        let addr = self.address(name, value)?;
        if addr.port() == 0 {
            self.report(value.start(), name, "the port is 0", "a port from 1 to 65535");
            return None;
        }
        Some(addr)
    }

    pub(super) fn remote_addresses(
        &mut self,
        name: &str,
        value: &Value<'_>,
    ) -> Option<Vec<SocketAddr>> {
        let array = self.array(name, value, "an array of addresses")?;
        let read: Vec<_> = array.elements.iter().map(|v| self.remote_address(name, v)).collect();
        read.into_iter().collect()
    }

    pub(super) fn duration(&mut self, name: &str, value: &Value<'_>) -> Option<Millis> {
        let accepted = "a whole number and one of ms, s, m, h, such as \"30s\"";
        let text = self.string(name, value, accepted)?;
        match text.parse::<Millis>() {
            Ok(time) if time.get() > 0 => Some(time),
            _ => {
                self.report(value.start(), name, "the value is not a duration above 0", accepted);
                None
            }
        }
    }

    pub(super) fn count(&mut self, name: &str, value: &Value<'_>) -> Option<u32> {
        let count = value.as_number_lit().and_then(|lit| lit.value.parse::<u32>().ok());
        if count.is_none_or(|count| count == 0) {
            let message = "the value is not a whole number above 0";
            self.report(value.start(), name, message, "1 to 4294967295");
            return None;
        }
        count
    }

    pub(super) fn array<'v, 'b>(
        &mut self,
        name: &str,
        value: &'v Value<'b>,
        accepted: &str,
    ) -> Option<&'v Array<'b>> {
        if value.as_array().is_none() {
            self.report(value.start(), name, "the value is not an array", accepted);
        }
        value.as_array()
    }

    pub(super) fn object<'v, 'b>(
        &mut self,
        name: &str,
        value: &'v Value<'b>,
    ) -> Option<&'v Object<'b>> {
        if value.as_object().is_none() {
            self.report(value.start(), name, "the value is not an object", "an object");
        }
        value.as_object()
    }
}
