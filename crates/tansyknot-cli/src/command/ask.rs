//! `ask`: sends one streamed request as a caller.

use std::{
    io::{BufRead, BufReader, Write},
    process::ExitCode,
};

use miette::IntoDiagnostic;
use serde::Serialize;
use serde_json::Value;

use crate::{args::AskArgs, exit::Failure};

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    messages: [Message<'a>; 1],
    stream: bool,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

/// Runs `ask`.
pub(crate) fn run(args: &AskArgs) -> miette::Result<ExitCode> {
    let body = Completion {
        model: &args.model,
        messages: [Message { role: "user", content: &args.prompt }],
        stream: true,
    };
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build().into();
    let url = format!("http://{}/v1/chat/completions", args.daemon);
    let authorization = format!("Bearer {}", args.key);
    let mut res = agent
        .post(url)
        .header("authorization", authorization)
        .send_json(&body)
        .into_diagnostic()?;
    let status = res.status().as_u16();
    if status != 200 {
        let text = res.body_mut().read_to_string().into_diagnostic()?;
        return Err(Failure::Rejected { status, text }.into());
    }
    print_stream(BufReader::new(res.into_body().into_reader()))
}

fn print_stream(reader: impl BufRead) -> miette::Result<ExitCode> {
    let mut out = std::io::stdout().lock();
    let mut is_error = false;
    for line in reader.lines() {
        let line = line.into_diagnostic()?;
        is_error = is_error || line.starts_with("event: error");
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if is_error {
            return Err(Failure::Rejected { status: 200, text: data.to_owned() }.into());
        }
        if let Ok(doc) = serde_json::from_str::<Value>(data) {
            let text = doc["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            write!(out, "{text}").and_then(|()| out.flush()).into_diagnostic()?;
        }
    }
    writeln!(out).into_diagnostic()?;
    Ok(ExitCode::SUCCESS)
}
