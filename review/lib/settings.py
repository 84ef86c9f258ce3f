"""The configuration of a front of a small deployment, as DEPLOY and the example of the settings have it."""

from standins import free_port


def config(nodes, log_port, classes, zones, cells, sockets=1024, specifics=None, limits=None, **settings):
    count = len(classes)
    return {
        "name": "n1", "listen": f"127.0.0.1:{free_port()}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "changelog": f"127.0.0.1:{log_port}",
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": True,
                                                           "servers": [n.entry() for n in nodes]}}]},
        "settings": {
            "n_instances": 3, "me": 0, "az": 0, "zones": zones, "flavors": ["std"], "membership_mode": "push",
            "classes": classes,
            "limits": {"max_attempts": 3, "dial_timeout_ns": 250_000_000, "conn_idle_ns": 30_000_000_000,
                       "max_streams": 100, "probes": False, "retry_after": True, "max_retry_after_ns": 500_000_000,
                       "second_copies": False, "peers": False, "may_cancel": True, **(limits or {})},
            "load_report": {"fields": ["cpu"], "via": "piggyback"},
            "prices": {"cross_zone": 0.0, "moves": 0.05},
            "rules": {"answer_slack_ns": 40_000_000, "cold_ns": 12_000_000_000, "fall_multiple": 2.5,
                      "fall_ns": 2_000_000_000, "start_capacity": 0.4, "stop_sending_within_ns": 250_000_000},
            "specifics": {"groups": 4, "positions": cells, "highest_rung": [4] * count, "lowest_rung": [0] * count,
                          "seats": [0] * count, "scale_by_class": [1.0] * count, "is_live": [False] * count,
                          "rung_kb": [189.0, 332.0, 582.0, 1021.0, 1791.0],
                          "ladder_worth": [0.18, 0.41, 0.62, 0.81, 1.0], "kind_slots": [44], "join": 1.0,
                          "refuses_from": 0.0, "uplink_kb": 600_000.0, "all_links_kb": 3_000_000.0,
                          "kb_per_weight": 50_000.0, "seen_after_ns": 500_000_000, "switch_cost_s": 0.8,
                          "told_every_ns": 2_500_000_000, **(specifics or {})},
            "step_ns": 10_000_000, "tenants": [], **settings,
        },
    }
