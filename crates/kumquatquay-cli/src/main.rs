//! The operators' tool.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    kumquatquay_cli::run(std::env::args_os()).await
}
