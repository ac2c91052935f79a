use std::{fs::File, io::Read};

use serde_json::{Value as Json, json};

mod cause;
mod gaps;
mod line;
mod story;

use story::Story;

use crate::{Console, Exit, ExplainArgs, Failure};

/// Joins the log lines of several processes into the story of one request, the cause first.
///
/// # Errors
/// A log that cannot be read, or no line about the request.
pub fn explain(args: &ExplainArgs, console: &mut Console) -> Result<Json, Failure> {
    if args.logs.is_empty() {
        let message = "damaskwick: no log is named; see damaskwick explain --help";
        return Err(Failure::new(Exit::Usage, message));
    }
    let mut lines = Vec::new();
    for path in &args.logs {
        let text = read(path).map_err(|error| {
            Failure::new(Exit::Failed, format!("{path} cannot be read: {error}"))
        })?;
        lines.extend(text.lines().filter_map(line::Line::parse));
    }
    let read = lines.len();
    let story = Story::new(&args.request, lines, args.around.into());
    if story.lines.is_empty() {
        let message = format!(
            "no line names request {} among {read} log lines; {}",
            args.request,
            gaps::why_absent(&story)
        );
        return Err(Failure::new(Exit::Failed, message));
    }
    let cause = cause::cause_of(&story);
    let gaps = gaps::gaps(&story);
    console.say(&format!("request {}: {cause}", args.request));
    console.say("");
    story.lines.iter().for_each(|line| console.say(&line.show(story.start)));
    for gap in &gaps {
        console.say(&format!("missing: {gap}"));
    }
    if !story.context.is_empty() {
        console.say("");
        console.say("what the hosts above came to know meanwhile:");
        story.context.iter().for_each(|line| console.say(&line.show(story.start)));
    }
    Ok(json!({
        "request": args.request,
        "cause": cause,
        "lines": story.lines.iter().map(line::Line::json).collect::<Vec<_>>(),
        "context": story.context.iter().map(line::Line::json).collect::<Vec<_>>(),
        "missing": gaps,
    }))
}

fn read(path: &str) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    match path {
        "-" => std::io::stdin().read_to_end(&mut bytes)?,
        path => File::open(path)?.read_to_end(&mut bytes)?,
    };
    // A process that was killed may have ended within a character.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
