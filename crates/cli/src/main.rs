//! Entry point of the operators' tool `damaskwick`.

use std::{
    env,
    io::{self, Write},
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

use dw_cli::{Command, Console, Edit, Exit, HttpAdmin, Invocation, parse_args, run};
use dw_platform::HttpPlatform;
use dw_tables::Name;

fn main() -> ExitCode {
    let raw_args: Vec<String> =
        env::args_os().skip(1).map(|word| word.to_string_lossy().into_owned()).collect();
    let exit = match parse_args(&raw_args) {
        Invocation::Run(args) => args.command.as_ref().map_or(Exit::Usage, run_command),
        Invocation::Print(text) => write_text(&mut io::stdout(), &text, Exit::Ok),
        Invocation::UsageError(text) => write_text(&mut io::stderr(), &text, Exit::Usage),
    };
    ExitCode::from(exit.code())
}

fn run_command(command: &Command) -> Exit {
    let mut builder = match command {
        Command::Demo(_) => tokio::runtime::Builder::new_multi_thread(),
        _ => tokio::runtime::Builder::new_current_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            let text = format!("the runtime cannot be started: {e}");
            return write_text(&mut io::stderr(), &text, Exit::Failed);
        }
    };
    let mut console = Console::new(command.json(), Box::new(io::stdout()), Box::new(io::stderr()));
    runtime.block_on(run(command, &new_edit(), HttpPlatform::new, &HttpAdmin, &mut console))
}

fn new_edit() -> Edit {
    let user = env::var("USER").unwrap_or_default();
    let author = if user.is_empty() { Name::new("unknown") } else { Name::from(user) };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Edit {
        author,
        change: Name::from(format!("{:032x}", rand::random::<u128>())),
        time: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
    }
}

fn write_text(out: &mut impl Write, text: &str, exit: Exit) -> Exit {
    let written = writeln!(out, "{}", text.trim_end());
    if written.is_err() && exit == Exit::Ok { Exit::Failed } else { exit }
}
