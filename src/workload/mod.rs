//! Sample deployments and the programs that their callers run, for the demo and for experiments.

mod caller;
mod deployment;
mod plan;

pub use caller::{ObservedCall, ObservedProgram, ProgramVerdict, run_program};
pub use deployment::{
    Deployment, DeploymentError, DomainLayout, EngineLayout, ServiceLayout, deployment_records,
};
pub use plan::{ClassShape, PlanStep, ProgramPlan, draw_plan};
