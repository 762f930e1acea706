//! Who decides: a fleet is founded, a decider is let in or taken out.

use super::*;

impl Inner {
    /// Founds the fleet: every decider of the file must be there and blank, or marked by this founding.
    pub(super) async fn found(&self) -> Result<(), String> {
        let own = self.settings.seat.ok_or("it is no decider")?;
        let store = lock(&self.now).store.clone().ok_or("its disk is not open")?;
        let marker = lock(&store).marker().map_err(|e| e.to_string())?;
        if let Some(raft) = self.raft() {
            if raft.is_initialized().await.map_err(|e| e.to_string())? {
                return Err("the fleet is founded already".to_owned());
            }
        }
        let drawn = self.settings.seed ^ self.clock().to_bits().rotate_left(17);
        let founding = marker.map_or(drawn, |marker| marker.founding);
        let mut members = BTreeMap::new();
        for (seat, address) in &self.book {
            members.insert(*seat, BasicNode::new(address));
            if *seat == own {
                continue;
            }
            let mut link = self.link(*seat).ok_or("no link")?;
            match link.ask(&Question::Status, Duration::from_secs(1)).await {
                Ok(Answer::Status(status)) if status.log == (0, 0) => {}
                Ok(Answer::Status(_)) => {
                    return Err(format!("decider {seat} belongs to a founded fleet already"))
                }
                Ok(_) => return Err(format!("decider {seat} answered another question")),
                Err(e) => return Err(format!("decider {seat}: {e}; all must be there to found a fleet")),
            }
        }
        for seat in self.book.keys() {
            let marker = Marker { fleet: self.settings.fleet.clone(), founding, id: *seat };
            if *seat == own {
                self.mark(&marker)?;
                continue;
            }
            let mut link = self.link(*seat).ok_or("no link")?;
            match link.ask(&Question::Mark(marker), Duration::from_secs(2)).await {
                Ok(Answer::Done) => {}
                Ok(Answer::No(e)) => return Err(format!("decider {seat}: {e}")),
                Ok(_) => return Err(format!("decider {seat} answered another question")),
                Err(e) => return Err(format!("decider {seat}: {e}; found again")),
            }
        }
        let raft = self.wait_raft().await?;
        raft.initialize(members).await.map_err(|e| e.to_string())
    }

    async fn wait_raft(&self) -> Result<Raft, String> {
        for _ in 0..200 {
            if let Some(raft) = self.raft() {
                return Ok(raft);
            }
            sleep(TICK).await;
        }
        Err("the decider did not start in five seconds".to_owned())
    }

    /// This decider's part, if it leads.
    fn leading(&self) -> Result<(Raft, openraft::RaftMetrics<u64, BasicNode>), String> {
        let raft = self.raft().ok_or("its folder is blank or broken")?;
        let metrics = raft.metrics().borrow().clone();
        if metrics.state != ServerState::Leader {
            let leader = metrics.current_leader.map_or("nobody".to_owned(), |l| (l % SEATS).to_string());
            return Err(format!("decider {leader} leads: ask that one"));
        }
        Ok((raft, metrics))
    }

    /// Takes the decider at a seat out of those that decide, one at a time. It keeps its folder, and can be readmitted.
    pub(super) async fn remove(&self, seat: Seat) -> Result<(), String> {
        if self.settings.seat == Some(seat) {
            return Err(format!(
                "decider {seat} leads and can't be removed; end it first, then another leads"
            ));
        }
        let (raft, metrics) = self.leading()?;
        let before: BTreeSet<u64> = metrics.membership_config.membership().voter_ids().collect();
        let to: BTreeSet<u64> = before.iter().copied().filter(|id| id % SEATS != seat).collect();
        if to == before {
            return Err(format!("decider {seat} has no vote"));
        }
        if to.len() < 2 {
            return Err(format!("without decider {seat} a single one would be left; readmit another first"));
        }
        let changed = timeout(CHANGE, raft.change_membership(to, false)).await;
        changed.map_err(|_| "the change was not agreed on in ten seconds")?.map_err(|e| e.to_string())?;
        Ok(())
    }

    /// Gives a decider that lost its disk a new id in its seat. Its old one never votes again. Likewise one that had no
    /// seat before.
    pub(super) async fn readmit(&self, seat: Seat) -> Result<(), String> {
        let (raft, metrics) = self.leading()?;
        let store = lock(&self.now).store.clone().ok_or("its disk is not open")?;
        let own = lock(&store).marker().map_err(|e| e.to_string())?.ok_or("its folder is blank")?;
        let mut link = self.link(seat).ok_or(format!("decider {seat} is not in the file"))?;
        let status = match link.ask(&Question::Status, Duration::from_secs(1)).await {
            Ok(Answer::Status(status)) => status,
            Ok(_) => return Err(format!("decider {seat} answered another question")),
            Err(e) => return Err(format!("decider {seat}: {e}")),
        };
        let membership = metrics.membership_config.membership().clone();
        let voters: BTreeSet<u64> = membership.voter_ids().collect();
        let known = membership.nodes().map(|(id, _)| *id).filter(|id| id % SEATS == seat);
        let newest = known.max().unwrap_or(seat);
        let id = match status.id {
            Some(id) if voters.contains(&id) => {
                return Err(format!("decider {seat} has its disk: it is no blank"))
            }
            Some(id) => id,
            None => newest + SEATS,
        };
        let marker = Marker { fleet: own.fleet, founding: own.founding, id };
        match link.ask(&Question::Mark(marker), Duration::from_secs(2)).await {
            Ok(Answer::Done) => {}
            Ok(Answer::No(e)) => return Err(format!("decider {seat}: {e}")),
            other => return Err(format!("decider {seat}: {other:?}")),
        }
        let address = self.book.get(&seat).ok_or("no address")?;
        let learns = timeout(CHANGE, raft.add_learner(id, BasicNode::new(address), true)).await;
        learns.map_err(|_| "it did not catch up in ten seconds")?.map_err(|e| e.to_string())?;
        let mut to: BTreeSet<u64> = voters.into_iter().filter(|voter| voter % SEATS != seat).collect();
        to.insert(id);
        let changed = timeout(CHANGE, raft.change_membership(to, false)).await;
        changed.map_err(|_| "the change was not agreed on in ten seconds")?.map_err(|e| e.to_string())?;
        Ok(())
    }
}
