//! A question to whoever leads: by a member, and by an operator's command.

use super::*;

/// Finds the leader, and asks it.
pub struct Caller {
    links: BTreeMap<Seat, Link>,
    leader: Option<Seat>,
    next: usize,
}

impl Caller {
    /// One that knows where the deciders are.
    pub fn new(settings: &Settings, book: &BTreeMap<Seat, SocketAddr>, traffic: Arc<Traffic>) -> Caller {
        let link = |address: &SocketAddr| {
            Link::new(*address, Hello::new(&settings.fleet, &settings.member), traffic.clone())
        };
        let links = book.iter().map(|(seat, address)| (*seat, link(address))).collect();
        // Not all members begin with the same decider.
        Caller { links, leader: None, next: settings.seed as usize }
    }

    /// Asks the leader's machine, whoever that is.
    pub async fn call(&mut self, question: Vec<u8>, most: Duration) -> Result<Vec<u8>, String> {
        let until = Instant::now() + most;
        let mut why = "no decider answered".to_owned();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.links.is_empty() {
                return Err(why);
            }
            let seat = self.leader.take().unwrap_or_else(|| {
                self.next = self.next.wrapping_add(1);
                let at = self.next % self.links.len();
                self.links.keys().nth(at).copied().unwrap_or_default()
            });
            let Some(link) = self.links.get_mut(&seat) else { continue };
            match link.ask(&Question::Machine(question.clone()), left.min(STEP)).await {
                Ok(Answer::Machine(answer)) => {
                    self.leader = Some(seat);
                    return Ok(answer);
                }
                Ok(Answer::Elsewhere(other)) => {
                    self.leader = other.filter(|other| *other != seat);
                    why = "no decider leads with a majority".to_owned();
                }
                Ok(Answer::No(no)) => why = format!("decider {seat}: {no}"),
                Ok(_) => why = format!("decider {seat} answered another question"),
                Err(e) => why = format!("decider {seat}: {e}"),
            }
            if self.leader.is_none() {
                sleep(Duration::from_millis(15).min(left)).await;
            }
        }
    }

    /// Asks one decider directly.
    pub async fn ask(&mut self, seat: Seat, question: &Question, most: Duration) -> Result<Answer, String> {
        let link = self.links.get_mut(&seat).ok_or_else(|| format!("decider {seat} is not in the file"))?;
        link.ask(question, most).await.map_err(|e| e.to_string())
    }
}
