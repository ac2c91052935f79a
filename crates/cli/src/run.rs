use std::net::SocketAddr;

use dw_platform::Platform;
use serde_json::Value as Json;

use crate::{
    Admin, Command, Console, Edit, Exit, Failure, apply, check, demo, diff, explain, get, hash_key,
    history, rollout, status, watch,
};

/// Runs a command and returns its exit code. Only commands that use the platform call `connect`.
pub async fn run<P: Platform, A: Admin>(
    command: &Command,
    edit: &Edit,
    connect: impl FnOnce(Vec<SocketAddr>) -> P,
    admin: &A,
    console: &mut Console,
) -> Exit {
    let result = dispatch(command, edit, connect, admin, console).await;
    console.finish(result)
}

async fn dispatch<P: Platform, A: Admin>(
    command: &Command,
    edit: &Edit,
    connect: impl FnOnce(Vec<SocketAddr>) -> P,
    admin: &A,
    console: &mut Console,
) -> Result<Json, Failure> {
    match command {
        Command::Check(args) => check(args, console),
        Command::Diff(args) => {
            let platform = connect(require_addrs("--platform", &args.platform)?);
            diff(args, &platform, console).await
        }
        Command::Apply(args) => {
            let platform = connect(require_addrs("--platform", &args.platform)?);
            apply(args, edit, &platform, admin, console).await
        }
        Command::Get(args) => {
            let platform = connect(require_addrs("--platform", &args.platform)?);
            get(args, &platform, console).await
        }
        Command::History(args) => {
            let platform = connect(require_addrs("--platform", &args.platform)?);
            history(args, &platform, console).await
        }
        Command::Status(args) => {
            require_addrs("--daemon", &args.daemon)?;
            status(args, admin, console).await
        }
        Command::Watch(args) => {
            require_addrs("--daemon", &args.daemon)?;
            watch(args, admin, console).await
        }
        Command::Rollout(args) => {
            let platform = connect(require_addrs("--platform", args.platform())?);
            rollout(args, edit, &platform, admin, console).await
        }
        Command::HashKey(_) => hash_key(std::io::stdin().lock(), console),
        Command::Explain(args) => explain(args, console),
        Command::Demo(args) => demo(args, console).await,
    }
}

fn require_addrs(option: &str, addrs: &[SocketAddr]) -> Result<Vec<SocketAddr>, Failure> {
    if addrs.is_empty() {
        return Err(Failure::new(
            Exit::Usage,
            format!("damaskwick: {option} IP:PORT is missing; see damaskwick --help"),
        ));
    }
    Ok(addrs.to_vec())
}
