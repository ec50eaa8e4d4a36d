//! What the options for all commands say.

use std::net::SocketAddr;

use clap::ArgMatches;
use eyre::Result;

use crate::{ExitStatus, client::OperatorClient, exit_status::Failure};

/// How to print results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Text,
    Json,
}

/// Options for all commands.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) format: OutputFormat,
    node: Option<SocketAddr>,
    token: Option<String>,
}

impl Context {
    pub(crate) fn of(matches: &ArgMatches) -> Self {
        let is_json = matches
            .get_one::<String>("output")
            .is_some_and(|format| format == "json");
        Self {
            format: if is_json {
                OutputFormat::Json
            } else {
                OutputFormat::Text
            },
            node: matches.get_one("node").copied(),
            token: matches.get_one("token").cloned(),
        }
    }

    /// A client for the node that the command line names.
    pub(crate) fn client(&self) -> Result<OperatorClient> {
        let Some(node) = self.node else {
            return Err(Failure::new(
                ExitStatus::Usage,
                "no node is named; give --node IP:PORT or set KUMQUATQUAY_NODE to the operator \
                 address of any node",
            )
            .into());
        };
        Ok(OperatorClient::new(node, self.token.clone()))
    }
}
