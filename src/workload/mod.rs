//! Model deployments and the programs that their callers run, for the demo and for experiments.

mod caller;
mod deployment;
mod plan;

pub use caller::{CallNote, ProgramNote, ProgramVerdict, run_program};
pub use deployment::{
    Deployment, DeploymentError, DomainLayout, ServiceLayout, WorkerLayout, deployment_records,
};
pub use plan::{ClassShape, PlanStep, ProgramPlan, draw_plan};
