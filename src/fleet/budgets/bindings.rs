//! Which budgets apply to requests of a class and an account, looked up ahead of admission.

use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::spec::{BudgetSpec, Resource};
use std::collections::HashMap;
use std::rc::Rc;

/// The budgets that apply to a request, by their numbers at the member.
#[derive(Clone, Debug, Default)]
pub(super) struct Binding {
    /// Those that apply to its admission.
    pub(super) admission: Vec<usize>,
    /// Those that apply to its retries.
    pub(super) retries: Vec<usize>,
}

impl Binding {
    fn of(member: &BudgetMember, class: &str, account: Option<&str>) -> Binding {
        let mut admission = member.applicable(Resource::Requests, class, account);
        admission.extend(member.applicable(Resource::OpenRequests, class, account));
        let retries = member.applicable(Resource::Retries, class, account);
        Binding { admission, retries }
    }
}

/// The bindings of one class.
#[derive(Debug)]
pub(super) struct ClassBindings {
    /// Of accounts that a budget names.
    by_account: HashMap<String, Rc<Binding>>,
    /// Of all others.
    other_accounts: Rc<Binding>,
}

impl ClassBindings {
    /// Looks up what applies to a class under the budgets that the member has in use.
    pub(super) fn new(member: &BudgetMember, specs: &[BudgetSpec], class: &str) -> ClassBindings {
        let bind = |account: &str| (account.to_owned(), Rc::new(Binding::of(member, class, Some(account))));
        let accounts = specs.iter().filter_map(|spec| spec.account.as_deref());
        ClassBindings {
            by_account: accounts.map(bind).collect(),
            other_accounts: Rc::new(Binding::of(member, class, None)),
        }
    }

    pub(super) fn of_account(&self, account: Option<&str>) -> &Rc<Binding> {
        let named = account.and_then(|account| self.by_account.get(account));
        named.unwrap_or(&self.other_accounts)
    }
}
