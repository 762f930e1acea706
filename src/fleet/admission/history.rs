//! Writes the history that the fault harness parses from standard error. The format of its lines must not change.

use super::{AdmissionRequest, Admitted, RejectReason};
use crate::fleet::test_hooks::machine_clock;
use beamgap_policy::rollout::Version;

/// Writes a line for an admitted or rejected request.
pub(super) fn write_admission(
    machine_time: f64,
    request: AdmissionRequest<'_>,
    result: &Result<Admitted, RejectReason>,
) {
    let AdmissionRequest { id, class, account, .. } = request;
    match result {
        Ok(Admitted { version, .. }) => {
            let account = account.unwrap_or_default();
            eprintln!(
                "history admit t={machine_time:.3} id={id} class={class} v={version} account={account}"
            );
        }
        Err(reason) => {
            let why = reason.history_word();
            eprintln!("history refuse t={machine_time:.3} id={id} class={class} why={why}");
        }
    }
}

/// Writes a line for the activation of a policy version, with a hash of the policy's text.
pub(super) fn write_activation(version: Version, policy_text: &str) {
    let multiply_xor = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = policy_text.bytes().fold(0, multiply_xor);
    eprintln!("history use t={:.3} v={version} hash={hash:x}", machine_clock());
}
