//! The fleet's budgets in this front end: joins what it holds of them (`crates/budgets`) to the gate, to attempts and to
//! connections. An admission looks at memory only.

use super::test_hooks::{machine_clock, TestHooks};
use beamgap_budgets::member::Holder;
use beamgap_budgets::leader::{Ask, Reply};
use beamgap_budgets::spec::{Of, Spec};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// What an admitted request holds of the fleet's stocks until it is dropped.
#[derive(Debug, Default)]
pub struct Held {
    units: Vec<Rc<()>>,
    longest: f64,
}

impl Held {
    /// After so many milliseconds from when it was admitted, what it may have running has ended; none if it holds nothing.
    pub fn longest(&self) -> Option<f64> {
        (!self.units.is_empty()).then_some(self.longest)
    }
}

/// Budgets that bind what comes of a class and an account.
#[derive(Clone, Debug, Default)]
struct Binding {
    coming: Vec<usize>,
    further: Vec<usize>,
}

/// For each account that a budget names, and for all others.
type OfClass = (HashMap<String, Rc<Binding>>, Rc<Binding>);

/// This member's part in the budgets.
#[derive(Debug)]
pub struct Shares {
    holder: Holder,
    hooks: TestHooks,
    classes: Vec<String>,
    /// By name of a stock: as many hold it as there are others beside this one.
    stocks: BTreeMap<String, Rc<()>>,
    /// The same by number of the budgets in use.
    counts: Vec<Option<(Rc<()>, f64)>>,
    /// Budgets of connections, by number, and the most connections that one engine has.
    links: Vec<usize>,
    links_used: u64,
    /// By class.
    bindings: Vec<OfClass>,
}

/// Leave for further attempts of a request, from the fleet's budgets.
#[derive(Clone, Debug)]
pub struct Further {
    shares: Rc<RefCell<Shares>>,
    binding: Rc<Binding>,
}

impl Further {
    /// Whether a further attempt of a request may go out now; if so it is counted.
    pub fn take(&self, name: &str) -> bool {
        let mut shares = self.shares.borrow_mut();
        let machine = machine_clock();
        let now = shares.hooks.member_time(machine);
        let may = self.binding.further.is_empty() || shares.take(now, &self.binding.further).is_ok();
        if may && shares.hooks.write_history {
            eprintln!("history further t={machine:.3} id={name}");
        }
        may
    }
}

impl Shares {
    /// A member that has just started: no budget is in use.
    pub fn new(member: &str, life: u64, zone: &str, classes: &[String], hooks: TestHooks) -> Shares {
        Shares {
            holder: Holder::new((member.to_owned(), life), zone, hooks.budget_bug),
            hooks,
            classes: classes.to_vec(),
            stocks: BTreeMap::new(),
            counts: Vec::new(),
            links: Vec::new(),
            links_used: 0,
            bindings: Vec::new(),
        }
    }

    /// Whether the policy in use has budgets.
    pub fn is_empty(&self) -> bool {
        self.holder.is_empty()
    }

    /// The budgets of a version that is in use from now on.
    pub fn uses(&mut self, now: f64, version: u64, specs: Vec<Spec>) {
        self.holder.uses(now, version, specs);
        let specs: Vec<Spec> = self.holder.specs().cloned().collect();
        self.counts.clear();
        // What is out of a stock goes on counting under its name, whatever else the version changes.
        self.stocks.retain(|name, rc| Rc::strong_count(rc) > 1 || specs.iter().any(|s| s.name == *name));
        for spec in &specs {
            let mut count = || self.stocks.entry(spec.name.clone()).or_insert_with(|| Rc::new(())).clone();
            let stock = (spec.of == Of::Open).then(|| (count(), spec.outlives()));
            self.counts.push(stock);
        }
        self.links = self.holder.binding(Of::Connections, "", None);
        self.bindings.clear();
        for class in &self.classes {
            let bind = |account: Option<&str>| {
                let of = |of| self.holder.binding(of, class, account);
                let mut coming = of(Of::Requests);
                coming.extend(of(Of::Open));
                Rc::new(Binding { coming, further: of(Of::FurtherAttempts) })
            };
            let accounts = specs.iter().filter_map(|s| s.account.as_deref());
            let named = accounts.map(|account| (account.to_owned(), bind(Some(account)))).collect();
            self.bindings.push((named, bind(None)));
        }
    }

    fn used(counts: &[Option<(Rc<()>, f64)>], links: (&[usize], u64), i: usize) -> u64 {
        // Two of them are kept here: by name and by number.
        let count = counts.get(i).and_then(Option::as_ref);
        let out = count.map(|(rc, _)| Rc::strong_count(rc).saturating_sub(2));
        out.map_or(if links.0.contains(&i) { links.1 } else { 0 }, |n| n as u64)
    }

    fn take(&mut self, now: f64, which: &[usize]) -> Result<(), usize> {
        let (counts, links) = (&self.counts, (self.links.as_slice(), self.links_used));
        self.holder.take(now, which, |i| Shares::used(counts, links, i))
    }

    /// Whether a request may come in; with what it holds for its life, and its leave for further attempts.
    pub fn admit(
        shares: &Rc<RefCell<Shares>>,
        now: f64,
        class: usize,
        account: Option<&str>,
    ) -> Result<(Held, Option<Further>), String> {
        let mut own = shares.borrow_mut();
        let Some((named, others)) = own.bindings.get(class) else { return Ok((Held::default(), None)) };
        let binding = account.and_then(|account| named.get(account)).unwrap_or(others).clone();
        if let Err(lacks) = own.take(now, &binding.coming) {
            let name = own.holder.specs().nth(lacks).map(|s| s.name.clone());
            return Err(name.unwrap_or_default());
        }
        let stocks = || binding.coming.iter().filter_map(|i| own.counts[*i].as_ref());
        let units = stocks().map(|(rc, _)| rc.clone()).collect();
        let longest = stocks().map(|(_, longest)| *longest).fold(0.0, f64::max);
        let further = (!binding.further.is_empty()).then(|| Further { shares: shares.clone(), binding });
        Ok((Held { units, longest }, further))
    }

    /// Connections that this front end may have to each engine, if a budget bounds them. `used` is the most that one
    /// engine has, `vain` how many more were wanted.
    pub fn links(&mut self, now: f64, used: u64, vain: bool) -> Option<u64> {
        self.links_used = used;
        let links = self.links.clone();
        for i in &links {
            if vain && used >= self.holder.units(*i, now) {
                // Told as asked for and not had: that is what moves parts here.
                let _ = self.take(now, &[*i]);
            }
        }
        links.iter().map(|i| self.holder.units(*i, now)).min()
    }

    /// Its part of what cold engines bear, if a budget divides that: one of how many front ends it is, and which.
    pub fn cold(&self, now: f64) -> Option<(f64, u64)> {
        let i = self.holder.specs().position(|spec| spec.of == Of::ColdEngines)?;
        Some(self.holder.among(i, now))
    }

    /// It is about to end: it wants nothing more.
    pub fn drain(&mut self) {
        self.holder.drain();
    }

    /// What is asked of the leader with a question of this number.
    pub fn ask(&mut self, now: f64, round: u64) -> Ask {
        let (counts, links) = (&self.counts, (self.links.as_slice(), self.links_used));
        self.holder.ask(now, round, |i| Shares::used(counts, links, i))
    }

    /// The answer to it.
    pub fn reply(&mut self, now: f64, reply: Reply) {
        self.holder.reply(now, reply);
    }

    /// How soon after the last answer the next question is wanted, in milliseconds.
    pub fn hurries(&self, now: f64) -> Option<f64> {
        self.holder.hurries(now)
    }
}
