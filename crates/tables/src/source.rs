use jsonc_parser::{ParseOptions, Scanner, ast::Value, parse_to_ast, tokens::Token};

use crate::{Finding, Place};

/// The maximum nesting depth of a table file; a row needs five levels. The JSON parser recurses
/// without a limit of its own, so that deeper text could overflow the stack.
const MAX_DEPTH: usize = 32;

/// The maximum size of a table file: [`MAX_CANONICAL_BYTES`](crate::MAX_CANONICAL_BYTES) for the
/// rows, and ample room for comments and indentation.
pub const MAX_FILE_BYTES: usize = 16 * 1024 * 1024;

/// A table file: its name and its text.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The name as the operator gave it, shown in findings.
    pub file: &'a str,
    /// The content.
    pub text: &'a str,
}

impl<'a> Source<'a> {
    /// A file and its text.
    #[must_use]
    pub const fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Parses JSON with comments. A file with a syntax error yields one finding only, since later
    /// errors may be mere consequences of the first.
    pub(crate) fn parse(self) -> Result<Value<'a>, Finding> {
        if self.text.len() > MAX_FILE_BYTES {
            return Err(self.syntax_error(1, format!("the file has {} bytes", self.text.len())));
        }
        self.check_tokens()?;
        let options = ParseOptions { allow_loose_object_property_names: false, ..<_>::default() };
        let parsed = parse_to_ast(self.text, &<_>::default(), &options)
            .map_err(|e| self.syntax_error(e.line_display(), e.kind().to_string()))?;
        parsed.value.ok_or_else(|| self.syntax_error(1, "the file is empty".to_owned()))
    }

    /// Refuses deep nesting and missing commas, both of which the parser accepts.
    fn check_tokens(self) -> Result<(), Finding> {
        let mut scanner = Scanner::new(self.text);
        let (mut depth, mut after_value) = (0_usize, false);
        let lines = LineIndex::new(self.text);
        loop {
            let token = scanner
                .scan()
                .map_err(|e| self.syntax_error(e.line_display(), e.kind().to_string()))?;
            let Some(token) = token else { return Ok(()) };
            let line = lines.at(scanner.token_start());
            if matches!(token, Token::CommentLine(_) | Token::CommentBlock(_)) {
                continue;
            }
            if after_value && begins_value(&token) {
                return Err(
                    self.syntax_error(line, "a comma is missing before this value".to_owned())
                );
            }
            after_value = ends_value(&token);
            match token {
                Token::OpenBrace | Token::OpenBracket => depth += 1,
                Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
                _ => {}
            }
            if depth > MAX_DEPTH {
                return Err(self.syntax_error(line, format!("nesting is deeper than {MAX_DEPTH}")));
            }
        }
    }

    fn syntax_error(self, line: usize, message: String) -> Finding {
        Finding {
            place: Place { file: self.file.to_owned(), line, row: 0 },
            name: "syntax".to_owned(),
            message,
            accepted: format!("JSON with comments, of at most {MAX_FILE_BYTES} bytes"),
        }
    }
}

/// Maps byte offsets to lines.
pub(crate) struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    /// Indexes the line breaks of `text`.
    pub(crate) fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        Self { starts: std::iter::once(0).chain(breaks.map(|(idx, _)| idx + 1)).collect() }
    }

    /// The line of `offset`, from 1.
    pub(crate) fn at(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset)
    }
}

const fn begins_value(token: &Token<'_>) -> bool {
    match token {
        Token::OpenBrace | Token::OpenBracket | Token::String(_) | Token::Word(_) => true,
        Token::Boolean(_) | Token::Number(_) | Token::Null => true,
        Token::CloseBrace | Token::CloseBracket | Token::Comma | Token::Colon => false,
        Token::CommentLine(_) | Token::CommentBlock(_) => false,
    }
}

const fn ends_value(token: &Token<'_>) -> bool {
    match token {
        Token::CloseBrace | Token::CloseBracket | Token::String(_) | Token::Word(_) => true,
        Token::Boolean(_) | Token::Number(_) | Token::Null => true,
        Token::OpenBrace | Token::OpenBracket | Token::Comma | Token::Colon => false,
        Token::CommentLine(_) | Token::CommentBlock(_) => false,
    }
}
