//! The client of the key-value service: replies that do not tell whether a write took effect.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use samphiregrade::keyvalue::{EtcdGateway, KeyValueClient, KeyValueLimits, SwapOutcome};
use samphiregrade_http::{
    HttpPool, HttpServer, IncomingRequest, OutgoingResponse, ServerSettings, run_system,
};
use serde_json::json;

const KEY: &str = "maps/a";
const VALUE: &str = "attempt 1";

// Guards against a write that counts as having had no effect although the service made it before it replied with 503.
#[test]
fn write_that_gets_503_may_have_taken_effect() {
    run_system(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = calls.clone();
        let handler = move |_: IncomingRequest| {
            let earlier = counted.fetch_add(1, Ordering::Relaxed);
            async move { reply(earlier) }
        };
        let _server = HttpServer::start(listener, ServerSettings::default(), handler);
        let gateway = EtcdGateway::new(&format!("http://{address}"), HttpPool::start(1));
        let client = KeyValueClient::new(Arc::new(gateway), KeyValueLimits::default());
        let outcome = client.swap(&KEY.into(), 0, Some(VALUE.to_owned())).await;
        assert_eq!(outcome, Ok(SwapOutcome::Swapped(7)));
        assert_eq!(calls.load(Ordering::Relaxed), 2);
    });
}

/// Returns the reply to a write that takes effect although the service times out.
fn reply(earlier_calls: usize) -> OutgoingResponse {
    if earlier_calls == 0 {
        let error = json!({"code": 14, "message": "etcdserver: request timed out"});
        return OutgoingResponse::json(503, &error);
    }
    let found = json!({
        "key": STANDARD.encode(KEY), "value": STANDARD.encode(VALUE), "mod_revision": "7"});
    let range = json!({"response_range": {"kvs": [found]}});
    OutgoingResponse::json(200, &json!({"succeeded": false, "responses": [range]}))
}
