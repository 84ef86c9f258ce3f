//! Planning: how much capacity each node reserves for each peak, a transport problem over nodes and racks.
//!
//! Each peak demands a rate on the nodes that hold its titles; each node and each rack's uplink has a capacity. The
//! linear program places as much as fits, earlier peaks first, and keeps the utilisation of the fullest node low, so
//! that the failure of one node takes little reserved capacity with it. The greedy plan adds to the least utilised
//! node step by step; it is the fallback if the program is too large to solve in time or finds no solution.

use good_lp::{
    Expression, ProblemVariables, Solution, SolverModel, Variable, constraint, default_solver, variable,
};

/// A node that can reserve capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeLimit {
    /// Index of its rack in [`Problem::racks`].
    pub rack: usize,
    /// Capacity of its link that may be reserved, kB a second.
    pub kb: f64,
}

/// The demand of one peak.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Rate to reserve, kB a second.
    pub kb: f64,
    /// Indices of the nodes that hold its titles.
    pub holders: Vec<usize>,
    /// Rank by time of announcement: a lower number is served first.
    pub order: usize,
}

/// A planning problem.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Problem {
    /// The nodes.
    pub nodes: Vec<NodeLimit>,
    /// Capacity of each rack's uplink that may be reserved, kB a second.
    pub racks: Vec<f64>,
    /// The demands of the peaks.
    pub demands: Vec<Demand>,
}

/// A plan: for each demand, the rate reserved on each node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Index of the node and rate in kB a second, by demand.
    pub allocations: Vec<Vec<(usize, f64)>>,
    /// The plan is a solution of the linear program, not a greedy one.
    pub solved: bool,
}

impl Plan {
    /// Total rate reserved for a demand, kB a second.
    #[must_use]
    pub fn allocated_kb(&self, demand: usize) -> f64 {
        self.allocations.get(demand).map_or(0.0, |nodes| nodes.iter().map(|(_, kb)| kb).sum())
    }

    /// Highest utilisation of a node: the reserved share of the capacity that may be reserved.
    #[must_use]
    pub fn max_utilisation(&self, problem: &Problem) -> f64 {
        let mut held = vec![0.0; problem.nodes.len()];
        self.allocations.iter().flatten().for_each(|(n, kb)| held[*n] += kb);
        held.iter()
            .zip(&problem.nodes)
            .map(|(h, n)| if n.kb > 0.0 { h / n.kb } else { 0.0 })
            .fold(0.0, f64::max)
    }
}

/// Most variables of a linear program. A solve cannot be interrupted, so its size limits its time: this size stays
/// under 50 ms on the machine of docs/peaks.md.
const MAX_VARIABLES: usize = 1_200;

/// The plan of the linear program, or else the greedy plan.
#[must_use]
pub fn plan(problem: &Problem) -> Plan {
    solve(problem).unwrap_or_else(|| greedy(problem))
}

/// Solves the linear program; `None` if it is too large or has no solution.
#[must_use]
pub fn solve(problem: &Problem) -> Option<Plan> {
    let variables: usize = problem.demands.iter().map(|n| n.holders.len()).sum();
    if variables == 0 || variables > MAX_VARIABLES {
        return None;
    }
    let mut vars = ProblemVariables::new();
    let mut allocated: Vec<Vec<(usize, Variable)>> = Vec::new();
    for demand in &problem.demands {
        allocated.push(demand.holders.iter().map(|h| (*h, vars.add(variable().min(0.0)))).collect());
    }
    let max_utilisation = vars.add(variable().min(0.0).max(1.0));
    // One kB on the smallest node raises its utilisation by 1 / capacity. With the weight of that capacity / 100, the
    // penalty on utilisation is at most a hundredth of what is placed.
    let capacities = problem.demands.iter().flat_map(|n| &n.holders).map(|h| problem.nodes[*h].kb);
    let smallest = capacities.filter(|kb| *kb > 1e-6).fold(f64::INFINITY, f64::min);
    let spread_weight = if smallest.is_finite() { smallest * 0.01 } else { 0.0 };
    // A kB counts more the earlier its peak was announced, and always more than an even spread.
    let mut objective = Expression::from(0.0);
    for (demand, nodes) in problem.demands.iter().zip(&allocated) {
        let weight = 1.0 + 1.0 / (1.0 + demand.order as f64);
        nodes.iter().for_each(|(_, v)| objective += *v * weight);
    }
    objective -= max_utilisation * spread_weight;
    let sum = |vars: &mut dyn Iterator<Item = Variable>| vars.fold(Expression::from(0.0), |s, v| s + v);
    let mut model = vars.maximise(objective).using(default_solver);
    for (demand, nodes) in problem.demands.iter().zip(&allocated) {
        model = model.with(constraint!(sum(&mut nodes.iter().map(|(_, v)| *v)) <= demand.kb.max(0.0)));
    }
    let all_allocated = || allocated.iter().flatten();
    for (i, node) in problem.nodes.iter().enumerate() {
        if all_allocated().any(|(h, _)| *h == i) {
            let here = sum(&mut all_allocated().filter(|(h, _)| *h == i).map(|(_, v)| *v));
            model = model.with(constraint!(here <= max_utilisation * node.kb.max(0.0)));
        }
    }
    for (rack, kb) in problem.racks.iter().enumerate() {
        let in_rack = |h: &usize| problem.nodes.get(*h).is_some_and(|n| n.rack == rack);
        if all_allocated().any(|(h, _)| in_rack(h)) {
            let here = sum(&mut all_allocated().filter(|(h, _)| in_rack(h)).map(|(_, v)| *v));
            model = model.with(constraint!(here <= kb.max(0.0)));
        }
    }
    let solution = model.solve().ok()?;
    let value = |v: Variable| solution.value(v);
    let allocations: Vec<Vec<(usize, f64)>> = allocated
        .iter()
        .map(|nodes| nodes.iter().map(|(h, v)| (*h, value(*v))).filter(|(_, kb)| *kb > 1e-6).collect())
        .collect();
    let plan = Plan { allocations, solved: true };
    // Checked because the rounding of the solver may exceed a capacity.
    fits(problem, &plan).then_some(plan)
}

/// Adds to the least utilised node step by step, earlier peaks first.
#[must_use]
pub fn greedy(problem: &Problem) -> Plan {
    /// Parts into which a demand is divided.
    const STEPS: f64 = 64.0;
    let mut node_left: Vec<f64> = problem.nodes.iter().map(|n| n.kb.max(0.0)).collect();
    let mut rack_left: Vec<f64> = problem.racks.iter().map(|r| r.max(0.0)).collect();
    let mut allocations = vec![Vec::new(); problem.demands.len()];
    let mut order: Vec<usize> = (0..problem.demands.len()).collect();
    order.sort_by_key(|i| problem.demands[*i].order);
    for i in order {
        let demand = &problem.demands[i];
        let (mut left, step) = (demand.kb.max(0.0), (demand.kb / STEPS).max(1e-3));
        let mut allocated = vec![0.0; demand.holders.len()];
        while left > 1e-6 {
            let available = |h: usize| node_left[h].min(rack_left[problem.nodes[h].rack]);
            // Relative to the size of the node, so that a small node is not filled like a large one.
            let free_share = |h: usize| node_left[h] / problem.nodes[h].kb.max(1e-9);
            let best = (0..demand.holders.len())
                .filter(|k| available(demand.holders[*k]) > 1e-6)
                .max_by(|a, b| free_share(demand.holders[*a]).total_cmp(&free_share(demand.holders[*b])));
            let Some(k) = best else { break };
            let h = demand.holders[k];
            let kb = step.min(left).min(available(h));
            allocated[k] += kb;
            node_left[h] -= kb;
            rack_left[problem.nodes[h].rack] -= kb;
            left -= kb;
        }
        allocations[i] = demand.holders.iter().copied().zip(allocated).filter(|(_, kb)| *kb > 1e-6).collect();
    }
    Plan { allocations, solved: false }
}

/// Whether no node or rack exceeds its capacity and no demand gets more than it asks for.
#[must_use]
pub fn fits(problem: &Problem, plan: &Plan) -> bool {
    let mut node_totals = vec![0.0; problem.nodes.len()];
    let mut rack_totals = vec![0.0; problem.racks.len()];
    for (demand, nodes) in problem.demands.iter().zip(&plan.allocations) {
        if nodes.iter().any(|(n, kb)| !demand.holders.contains(n) || !kb.is_finite() || *kb < 0.0) {
            return false;
        }
        if nodes.iter().map(|(_, kb)| kb).sum::<f64>() > demand.kb * (1.0 + 1e-6) + 1e-3 {
            return false;
        }
        for (n, kb) in nodes {
            node_totals[*n] += kb;
            rack_totals[problem.nodes[*n].rack] += kb;
        }
    }
    let within = |used: &f64, limit: f64| *used <= limit.max(0.0) * (1.0 + 1e-6) + 1e-3;
    node_totals.iter().zip(&problem.nodes).all(|(h, n)| within(h, n.kb))
        && rack_totals.iter().zip(&problem.racks).all(|(h, r)| within(h, *r))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn problem(nodes: usize, racks: usize, demands: &[(f64, &[usize])]) -> Problem {
        Problem {
            nodes: (0..nodes).map(|i| NodeLimit { rack: i % racks, kb: 100.0 }).collect(),
            racks: vec![250.0; racks],
            demands: demands
                .iter()
                .enumerate()
                .map(|(order, (kb, holders))| Demand { kb: *kb, holders: holders.to_vec(), order })
                .collect(),
        }
    }

    #[test]
    fn a_demand_is_spread_over_its_nodes() {
        let p = problem(4, 2, &[(120.0, &[0, 1, 2])]);
        for plan in [solve(&p).expect("solved"), greedy(&p)] {
            assert!(fits(&p, &plan));
            assert!((plan.allocated_kb(0) - 120.0).abs() < 0.1, "{plan:?}");
            assert!(plan.max_utilisation(&p) < 0.45, "{plan:?}");
        }
    }

    #[test]
    fn an_earlier_peak_is_served_first() {
        let p = problem(2, 1, &[(150.0, &[0, 1]), (150.0, &[0, 1])]);
        for plan in [solve(&p).expect("solved"), greedy(&p)] {
            assert!(
                (plan.allocated_kb(0) - 150.0).abs() < 0.1 && (plan.allocated_kb(1) - 50.0).abs() < 0.1,
                "{plan:?}"
            );
        }
    }

    #[test]
    fn the_program_places_more_than_the_greedy_plan() {
        // The first peak may go to either node, the second to the first one alone.
        let p = problem(2, 2, &[(100.0, &[0, 1]), (100.0, &[0])]);
        let solved = solve(&p).expect("solved");
        assert!((solved.allocated_kb(0) + solved.allocated_kb(1) - 200.0).abs() < 0.1, "{solved:?}");
        let greedy = greedy(&p);
        assert!(greedy.allocated_kb(1) < 60.0, "{greedy:?}");
    }

    #[test]
    fn a_program_that_is_too_large_is_replaced_by_the_greedy_plan() {
        let all: Vec<usize> = (0..200).collect();
        let demands: Vec<(f64, &[usize])> = (0..7).map(|_| (50.0, all.as_slice())).collect();
        let p = problem(200, 50, &demands);
        assert!(solve(&p).is_none());
        assert!(!plan(&p).solved && fits(&p, &plan(&p)));
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(64))]
        /// Both plans stay within the capacities, and the program places at least half of what the greedy plan does.
        #[test]
        fn plans_fit(
            sizes in prop::collection::vec(0.0f64..500.0, 1..8),
            uplinks in prop::collection::vec(0.0f64..900.0, 3),
            demands in prop::collection::vec((0.0f64..900.0, prop::collection::btree_set(0usize..8, 1..6)), 1..6),
        ) {
            let n = sizes.len();
            let p = Problem {
                nodes: sizes.iter().enumerate().map(|(i, kb)| NodeLimit { rack: i % 3, kb: *kb }).collect(),
                racks: uplinks,
                demands: demands.into_iter().enumerate().map(|(order, (kb, h))| {
                    let mut holders: Vec<usize> = h.into_iter().map(|x| x % n).collect();
                    holders.sort_unstable();
                    holders.dedup();
                    Demand { kb, holders, order }
                }).collect(),
            };
            let greedy = greedy(&p);
            prop_assert!(fits(&p, &greedy));
            if let Some(solved) = solve(&p) {
                let all = |plan: &Plan| (0..p.demands.len()).map(|i| plan.allocated_kb(i)).sum::<f64>();
                // Earlier peaks weigh more, by a factor of two at most.
                prop_assert!(all(&solved) * 2.0 + 1.0 >= all(&greedy), "{} {}", all(&solved), all(&greedy));
            }
        }
    }
}
