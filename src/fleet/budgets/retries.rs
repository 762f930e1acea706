//! Limits the retries of admitted requests by the fleet's retry budgets.

use super::bindings::Binding;
use super::FleetBudgets;
use crate::fleet::test_hooks::machine_clock;
use std::cell::RefCell;
use std::rc::Rc;

/// The fleet's retry budgets that limit the retries of one admitted request.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    pub(super) budgets: Rc<RefCell<FleetBudgets>>,
    pub(super) binding: Rc<Binding>,
}

impl FleetRetryBudget {
    /// Takes one retry from each budget that applies. Returns false, and takes nothing, if one of them is exhausted.
    ///
    /// `request_id` identifies the request in the history of the fault harness.
    pub fn try_acquire(&self, request_id: &str) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let machine_time = machine_clock();
        let now = budgets.test_hooks.member_time(machine_time);
        let may_retry =
            self.binding.retries.is_empty() || budgets.try_acquire(now, &self.binding.retries).is_ok();
        if may_retry && budgets.test_hooks.write_history {
            eprintln!("history further t={machine_time:.3} id={request_id}");
        }
        may_retry
    }
}
