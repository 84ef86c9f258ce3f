//! One front as a member of the fleet: a state machine without I/O that joins the exchange of records, membership, duties,
//! copies of sessions, and the agreement on the policy.
//!
//! Its inputs are datagrams, the time, and results of duties. Its outputs are datagrams, duties to run, readings from other
//! fronts, and changes of the view. The front's shell executes the outputs on sockets; the rehearsal runs many fronts in one
//! process on a simulated network with the same code.

mod agreement;
mod copies;
mod fleet;
mod readings;

pub use agreement::{ActivePolicy, AgreementNote, AgreementSettings, AgreementView, PolicyEngine};
pub use fleet::{Fleet, LOAD_READING_DUTY, MemberRow, MembershipSettings, Note, Output, Settings};
pub use readings::{READING_SPACE, Reading};
