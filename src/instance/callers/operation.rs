//! Parses callers' HTTP requests into operations.

use smol_str::format_smolstr;

use crate::contract::{BeginRequest, CallBody, CallSpec, ContractError, Refusal, RefusalKind};
use crate::ids::{ProgramId, SequenceNumber};
use crate::link::ForwardedRequest;
use crate::program::{BodyDigest, body_digest};

/// A call as the caller sent it.
#[derive(Clone, Debug)]
pub struct CallOperation {
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Digest of the body.
    pub digest: BodyDigest,
    /// Specification of the call.
    pub spec: CallSpec,
    /// Offset from which the text is streamed; `None` for the complete response at once.
    pub stream: Option<usize>,
}

/// Kind of a caller's operation.
#[derive(Clone, Debug)]
pub enum OperationKind {
    /// Start a program; the second part is the body as sent.
    Begin(BeginRequest, Vec<u8>),
    /// Make a call.
    Call(CallOperation),
    /// Fetch the response of an earlier call: streamed from an offset, or complete at once.
    LateResponse(SequenceNumber, Option<usize>),
    /// Return the state of a program.
    Show,
    /// Return the conversation of a program.
    History,
    /// End a program.
    End,
}

/// A caller's operation with the program that it concerns.
#[derive(Clone, Debug)]
pub struct CallerOperation {
    /// The program; empty for an operation that starts one.
    pub program: ProgramId,
    /// Kind of the operation.
    pub kind: OperationKind,
}

fn bad_request<Detail>(detail: Detail) -> Refusal
where
    Detail: std::fmt::Display,
{
    Refusal::not_run(RefusalKind::BadRequest, format_smolstr!("{detail}"))
}

impl From<ContractError> for Refusal {
    fn from(error: ContractError) -> Self {
        bad_request(error)
    }
}

impl CallerOperation {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the invalid field and the remedy.
    pub fn parse(request: &ForwardedRequest) -> Result<Self, Refusal> {
        let segments: Vec<&str> = request
            .path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect();
        let unknown = || {
            let detail = format_smolstr!("there is no {} {}", request.method, request.path);
            Refusal::not_run(RefusalKind::UnknownAddress, detail)
        };
        let (program, kind) = match (request.method.as_str(), segments.as_slice()) {
            ("POST", ["v1", "programs"]) => ("", parse_begin(request)?),
            ("GET", ["v1", "programs", program]) => (*program, OperationKind::Show),
            ("GET", ["v1", "programs", program, "history"]) => (*program, OperationKind::History),
            ("POST", ["v1", "programs", program, "end"]) => (*program, OperationKind::End),
            ("POST", ["v1", "programs", program, "calls", sequence]) => {
                (*program, parse_call(request, sequence)?)
            }
            ("GET", ["v1", "programs", program, "calls", sequence]) => {
                let kind = OperationKind::LateResponse(parse_sequence(sequence)?, offset(request)?);
                (*program, kind)
            }
            _ => return Err(unknown()),
        };
        Ok(Self {
            program: program.into(),
            kind,
        })
    }
}

fn parse_begin(request: &ForwardedRequest) -> Result<OperationKind, Refusal> {
    let begin: BeginRequest = serde_json::from_slice(&request.body).map_err(bad_request)?;
    begin.check()?;
    Ok(OperationKind::Begin(begin, request.body.clone()))
}

fn parse_call(request: &ForwardedRequest, sequence: &str) -> Result<OperationKind, Refusal> {
    let sequence = parse_sequence(sequence)?;
    let offset = offset(request)?;
    let body: CallBody = serde_json::from_slice(&request.body).map_err(bad_request)?;
    let streamed = body.stream;
    let spec = body.into_spec()?;
    Ok(OperationKind::Call(CallOperation {
        sequence,
        digest: body_digest(&request.body),
        spec,
        stream: streamed.then_some(offset.unwrap_or(0)),
    }))
}

fn parse_sequence(text: &str) -> Result<SequenceNumber, Refusal> {
    match text.parse() {
        Ok(sequence @ 1..) => Ok(sequence),
        _ => Err(bad_request(
            "the number of a call has to be a whole number from 1",
        )),
    }
}

/// Reads the offset at which a stream is resumed from the query.
fn offset(request: &ForwardedRequest) -> Result<Option<usize>, Refusal> {
    let pairs = request
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    for (key, value) in pairs {
        if key != "offset" {
            continue;
        }
        let offset = value.parse();
        return offset
            .map(Some)
            .map_err(|_| bad_request("parameter `offset` has to be a whole number of bytes"));
    }
    Ok(None)
}
