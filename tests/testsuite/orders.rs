//! Orders to engines: a model that too few engines have loaded is loaded by a single order.

use samphiregrade::record::{CURRENT_SCHEMA, RecordEnvelope, RecordKind};
use serde_json::json;

use crate::support::{eventually, small_settings, with_cluster};

#[test]
fn missing_model_is_loaded_by_one_order() {
    with_cluster(small_settings(), |cluster| async move {
        let record = |kind, name: &str, spec| RecordEnvelope {
            schema: CURRENT_SCHEMA,
            kind,
            name: name.into(),
            spec,
        };
        let engine = "policy-reasoning-0";
        let spec = json!({
            "kind": "engine", "address": cluster.direct_address(engine),
            "failure-domain": "bilbao-a", "models": ["policy", "second"], "checks-fencing": true});
        let upstream = record(RecordKind::Upstream, engine, spec);
        cluster
            .put_record(&upstream)
            .await
            .expect("a stored record");
        let model = record(
            RecordKind::Model,
            "second",
            json!({"version": "1", "replicas": 1}),
        );
        cluster.put_record(&model).await.expect("a stored record");
        let standin = &cluster.engines[engine];
        eventually("the model is loaded", || async {
            standin.models().iter().any(|model| model == "second")
        })
        .await;
        assert_eq!(standin.accepted_orders(), 1);
    });
}
