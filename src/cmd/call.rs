//! `samphiregrade call`: runs a program with prompts from the command line.

use std::process::ExitCode;

use anyhow::{Result, bail};
use pico_args::Arguments;
use samphiregrade::client::CallerClient;
use samphiregrade::contract::{BeginRequest, CallBody, ChatMessage};
use samphiregrade_http::{HttpPool, run_system};
use smol_str::{SmolStr, format_smolstr};

pub const USAGE: &str = "\
Starts a program, sends each prompt as one call, and ends it.

Usage: samphiregrade call --instance URL --token TOKEN --class CLASS [--key KEY] [--home DOMAIN]
                          [--max-tokens N] PROMPT [PROMPT ...]
";

/// Arguments of the command.
pub struct CallArguments {
    instance: SmolStr,
    token: SmolStr,
    class: SmolStr,
    key: SmolStr,
    home: Option<SmolStr>,
    max_tokens: Option<u64>,
    prompts: Vec<String>,
}

/// Parses the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<CallArguments> {
    let text = |value: String| SmolStr::from(value);
    let instance = text(arguments.value_from_str("--instance")?);
    let token = text(arguments.value_from_str("--token")?);
    let class = text(arguments.value_from_str("--class")?);
    let key: Option<String> = arguments.opt_value_from_str("--key")?;
    let home: Option<String> = arguments.opt_value_from_str("--home")?;
    let max_tokens = arguments.opt_value_from_str("--max-tokens")?;
    let remaining = arguments.finish();
    let prompts: Vec<String> = remaining
        .iter()
        .map(|prompt| prompt.to_string_lossy().into_owned())
        .collect();
    if prompts.is_empty() {
        bail!("no prompt given; pass at least one");
    }
    let key = key.map_or_else(|| format_smolstr!("call-{:x}", rand::random::<u64>()), text);
    Ok(CallArguments {
        instance,
        token,
        class,
        key,
        home: home.map(text),
        max_tokens,
        prompts,
    })
}

/// Runs the command.
pub fn execute(arguments: CallArguments) -> Result<ExitCode> {
    run_system(async move {
        let entries = vec![arguments.instance.trim_end_matches('/').into()];
        let client = CallerClient::new(HttpPool::start(1), entries, arguments.token.clone());
        let request = BeginRequest {
            key: arguments.key,
            class: arguments.class,
            home: arguments.home,
            tokens: None,
            deadline_ms: None,
            parent: None,
        };
        let begin = client.begin(&request).await?.body;
        eprintln!("program={} tokens={}", begin.program, begin.tokens);
        for (prompt, sequence) in arguments.prompts.into_iter().zip(1..) {
            let message = ChatMessage {
                role: "user".into(),
                content: prompt,
            };
            let body = CallBody {
                messages: Some(vec![message]),
                max_tokens: arguments.max_tokens,
                ..CallBody::default()
            };
            let response = client.call(&begin.program, sequence, &body).await?.body;
            println!(
                "{}",
                response["choices"][0]["message"]["content"]
                    .as_str()
                    .unwrap_or("")
            );
        }
        let end = client.end(&begin.program).await?.body;
        eprintln!("ended calls={} tokens-used={}", end.calls, end.tokens_used);
        Ok(ExitCode::SUCCESS)
    })
}
