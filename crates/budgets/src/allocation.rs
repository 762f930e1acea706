//! Who is to have how much of a whole: max-min by weight over what each wants.

/// What one member wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Want {
    /// As much of the whole as it can use, in units; may be more than there are.
    pub demand: f64,
    /// Its weight, above 0.
    pub weight: f64,
}

/// Divides so many units. Nobody gets more by asking for more than its fair share. What nobody wants is spread by weight,
/// so that whoever asks next has something at once. Units are whole; of those that are left over by that, one each goes to
/// those who want more, the neediest first, then to the first in order. Whoever wants something has one, as long as there are
/// as many: who had more than one gives it up.
pub fn divide(wants: &[Want], units: u64) -> Vec<u64> {
    if wants.is_empty() {
        return Vec::new();
    }
    let mut shares = level(wants, units as f64);
    let left = units as f64 - shares.iter().sum::<f64>();
    let weights: f64 = wants.iter().map(|w| w.weight).sum();
    if left > 0.0 && weights > 0.0 {
        shares.iter_mut().zip(wants).for_each(|(share, w)| *share += left * w.weight / weights);
    }
    let mut whole: Vec<u64> = shares.iter().map(|share| (share + 1e-9).floor() as u64).collect();
    let mut rest = units.saturating_sub(whole.iter().sum());
    let mut order: Vec<usize> = (0..wants.len()).collect();
    let lacks = |i: usize, whole: &[u64]| (wants[i].demand - whole[i] as f64).clamp(0.0, 1.0);
    let cut = |i: usize, whole: &[u64]| shares[i] - whole[i] as f64;
    order.sort_by(|a, b| {
        let key = |i: usize| (lacks(i, &whole), cut(i, &whole));
        key(*b).partial_cmp(&key(*a)).unwrap_or(std::cmp::Ordering::Equal)
    });
    for i in order {
        if rest == 0 {
            break;
        }
        whole[i] += 1;
        rest -= 1;
    }
    for i in 0..wants.len() {
        if wants[i].demand <= 0.0 || whole[i] > 0 {
            continue;
        }
        let idle = |j: &usize| (wants[*j].demand > 0.0, std::cmp::Reverse(whole[*j]));
        let richest =
            (0..wants.len()).filter(|j| whole[*j] > u64::from(wants[*j].demand > 0.0)).min_by_key(idle);
        if let Some(j) = richest {
            whole[j] -= 1;
            whole[i] += 1;
        }
    }
    whole
}

/// The water level: each gets what it wants, or its weight's part of one level that uses all up.
fn level(wants: &[Want], all: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    let per_weight = |i: usize| wants[i].demand.max(0.0) / wants[i].weight.max(1e-9);
    order.sort_by(|a, b| per_weight(*a).total_cmp(&per_weight(*b)));
    let mut weights: f64 = wants.iter().map(|w| w.weight.max(1e-9)).sum();
    let mut left = all;
    let mut shares = vec![0.0; wants.len()];
    for i in order {
        let weight = wants[i].weight.max(1e-9);
        let share = wants[i].demand.max(0.0).min(left * weight / weights);
        shares[i] = share;
        left = (left - share).max(0.0);
        weights = (weights - weight).max(1e-12);
    }
    shares
}
