//! The two roles of an instance on a platform: entry and keeper.

mod authority;
mod beliefs;
mod departure;
mod domain_watch;
mod entry;
mod keeper;
mod member;
mod membership;
mod probe_server;
mod proofs;
mod signals;
mod stream;

pub use entry::run_entry;
pub use keeper::run_keeper;
pub use membership::{MembershipStep, MembershipView, SlotReplies, next_step};
pub use signals::block_reload_signal;
