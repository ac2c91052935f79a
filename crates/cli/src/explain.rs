use std::{fs::File, io::Read};

use serde_json::{Value as Json, json};

mod cause;
mod gaps;
mod line;
mod timeline;

use timeline::Timeline;

use crate::{Console, Exit, ExplainArgs, Failure};

/// Joins the log lines of several processes into the timeline of one request, preceded by the cause
/// of its outcome.
///
/// # Errors
/// Fails if no log is given, a log cannot be read, or no line names the request.
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
        lines.extend(text.lines().filter_map(line::LogLine::parse));
    }
    let read = lines.len();
    let timeline = Timeline::new(&args.request, lines, args.around.into());
    if timeline.lines.is_empty() {
        let message = format!(
            "no line names request {} among {read} log lines; {}",
            args.request,
            gaps::reason_absent(&timeline)
        );
        return Err(Failure::new(Exit::Failed, message));
    }
    let cause = cause::cause_of(&timeline);
    let gaps = gaps::gaps(&timeline);
    console.print_line(&format!("request {}: {cause}", args.request));
    console.print_line("");
    timeline.lines.iter().for_each(|line| console.print_line(&line.render(timeline.start)));
    for gap in &gaps {
        console.print_line(&format!("missing: {gap}"));
    }
    if !timeline.context.is_empty() {
        console.print_line("");
        console.print_line("what the hosts above came to know meanwhile:");
        timeline.context.iter().for_each(|line| console.print_line(&line.render(timeline.start)));
    }
    Ok(json!({
        "request": args.request,
        "cause": cause,
        "lines": timeline.lines.iter().map(line::LogLine::json).collect::<Vec<_>>(),
        "context": timeline.context.iter().map(line::LogLine::json).collect::<Vec<_>>(),
        "missing": gaps,
    }))
}

fn read(path: &str) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    match path {
        "-" => std::io::stdin().read_to_end(&mut bytes)?,
        path => File::open(path)?.read_to_end(&mut bytes)?,
    };
    // The log of a killed process may end in the middle of a UTF-8 sequence.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
