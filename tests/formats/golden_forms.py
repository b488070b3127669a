"""What the types of the protocol, of messages and of records look like, as bytes.

Recorded from version 0.6.0, and compared with what the present code reads and writes. The
labels are the names that the types had then; they stay when a type is renamed.
"""

from __future__ import annotations

from typing import Any, NamedTuple


class JsonForm(NamedTuple):
    """A type's examples as JSON."""

    full: bytes  # every field differs from its default
    fields: tuple[Any, ...]  # of the full example, by position, nested types as tuples
    least: bytes  # what may be sent at least
    least_encoded: bytes  # the same, encoded again: defaults are added, or left out
    least_fields: tuple[Any, ...]


class PackedForm(NamedTuple):
    """A message's examples as MessagePack, in hexadecimal digits."""

    full: str
    fields: tuple[Any, ...]
    least: str  # only fields without defaults, as an earlier version sends it
    least_encoded: str
    least_fields: tuple[Any, ...]


PROTOCOL: dict[str, JsonForm] = {
    "JobSpec": JsonForm(
        (
            b'{"ref":"id1","vintage":"job_class2","crew":"team3","cut":"kind4","rank":"rank5",'
            b'"rows":6,"vcpus":7.25,"cards":8.25,"memGb":9.25,"cask":"image10","pullGb":11.25,'
            b'"presses":["types14","types15"],"parcel":"zone17","oneZone":true,"spread":true,"'
            b'gleaning":true,"ripenS":21.25,"rackS":22.25,"bottleS":23.25,"harvestS":25.25}'
        ),
        (
            "id1",
            "job_class2",
            "team3",
            "kind4",
            "rank5",
            6,
            7.25,
            8.25,
            9.25,
            "image10",
            11.25,
            ("types14", "types15"),
            "zone17",
            True,
            True,
            True,
            21.25,
            22.25,
            23.25,
            25.25,
        ),
        (
            b'{"ref":"id1","vintage":"job_class2","crew":"team3","cut":"kind4","rank":"rank5",'
            b'"rows":6,"vcpus":7.25,"cards":8.25,"memGb":9.25}'
        ),
        (
            b'{"ref":"id1","vintage":"job_class2","crew":"team3","cut":"kind4","rank":"rank5",'
            b'"rows":6,"vcpus":7.25,"cards":8.25,"memGb":9.25}'
        ),
        (
            "id1",
            "job_class2",
            "team3",
            "kind4",
            "rank5",
            6,
            7.25,
            8.25,
            9.25,
            "",
            0.0,
            None,
            None,
            False,
            False,
            False,
            1.0,
            0.0,
            0.0,
            None,
        ),
    ),
    "TaskReport": JsonForm(
        (b'{"row":"task1","pressing":2,"stage":"state3","cause":"cause5","saved":true}'),
        ("task1", 2, "state3", "cause5", True),
        (b'{"row":"task1","pressing":2,"stage":"state3"}'),
        (b'{"row":"task1","pressing":2,"stage":"state3","cause":null,"saved":null}'),
        ("task1", 2, "state3", None, None),
    ),
    "Report": JsonForm(
        (
            b'{"vat":"machine1","shift":2,"tally":3,"seal":4,"address":"address5","press":"typ'
            b'e6","parcel":"zone7","gleaning":true,"recallS":10.25,"rows":[{"row":"task13","pr'
            b'essing":14,"stage":"state15","cause":"cause17","saved":true}]}'
        ),
        (
            "machine1",
            2,
            3,
            4,
            "address5",
            "type6",
            "zone7",
            True,
            10.25,
            [("task13", 14, "state15", "cause17", True)],
        ),
        (b'{"vat":"machine1","shift":2,"tally":3}'),
        (
            b'{"vat":"machine1","shift":2,"tally":3,"seal":0,"address":"","press":"","parcel":'
            b'"","gleaning":false,"recallS":null,"rows":[]}'
        ),
        ("machine1", 2, 3, 0, "", "", "", False, None, []),
    ),
    "Order": JsonForm(
        (b'{"order":"op1","row":"task2","pressing":3,"settleS":5.25}'),
        ("op1", "task2", 3, 5.25),
        (b'{"order":"op1","row":"task2","pressing":3}'),
        (b'{"order":"op1","row":"task2","pressing":3}'),
        ("op1", "task2", 3, None),
    ),
    "Orders": JsonForm(
        (b'{"seal":1,"orders":[{"order":"op4","row":"task5","pressing":6,"settleS":8.25}]}'),
        (1, [("op4", "task5", 6, 8.25)]),
        (b'{"seal":1,"orders":[{"order":"op4","row":"task5","pressing":6}]}'),
        (b'{"seal":1,"orders":[{"order":"op4","row":"task5","pressing":6}]}'),
        (1, [("op4", "task5", 6, None)]),
    ),
    "DirectOrders": JsonForm(
        (
            b'{"seal":1,"shift":2,"orders":[{"order":"op5","row":"task6","pressing":7,"settleS'
            b'":9.25}]}'
        ),
        (1, 2, [("op5", "task6", 7, 9.25)]),
        (b'{"seal":1,"shift":2,"orders":[{"order":"op5","row":"task6","pressing":7}]}'),
        (b'{"seal":1,"shift":2,"orders":[{"order":"op5","row":"task6","pressing":7}]}'),
        (1, 2, [("op5", "task6", 7, None)]),
    ),
    "Redirect": JsonForm((b'{"steward":"report_to2"}'), ("report_to2",), (b"{}"), (b"{}"), (None,)),
    "JobView": JsonForm(
        (b'{"ref":"id1","stage":"state2","done":4,"running":6}'),
        ("id1", "state2", 4, 6),
        (b'{"ref":"id1","stage":"state2"}'),
        (b'{"ref":"id1","stage":"state2"}'),
        ("id1", "state2", None, None),
    ),
    "MachineType": JsonForm(
        (
            b'{"sku":"name1","vcpus":2.25,"memGb":3.25,"cards":4.25,"localGb":5.25,"fetchGbPer'
            b'S":6.25,"rate":7.25,"spotPrice":9.25,"readyS":10.25,"parcels":["zones12"]}'
        ),
        ("name1", 2.25, 3.25, 4.25, 5.25, 6.25, 7.25, 9.25, 10.25, ["zones12"]),
        (b'{"sku":"name1","vcpus":2.25,"memGb":3.25}'),
        (
            b'{"sku":"name1","vcpus":2.25,"memGb":3.25,"cards":0.0,"localGb":0.0,"fetchGbPerS"'
            b':1.0,"rate":1.0,"spotPrice":null,"readyS":30.0,"parcels":[]}'
        ),
        ("name1", 2.25, 3.25, 0.0, 0.0, 1.0, 1.0, None, 30.0, []),
    ),
    "MachineTypes": JsonForm(
        (
            b'{"presses":[{"sku":"name3","vcpus":4.25,"memGb":5.25,"cards":6.25,"localGb":7.25'
            b',"fetchGbPerS":8.25,"rate":9.25,"spotPrice":11.25,"readyS":12.25,"parcels":["zon'
            b'es14"]}]}'
        ),
        ([("name3", 4.25, 5.25, 6.25, 7.25, 8.25, 9.25, 11.25, 12.25, ["zones14"])],),
        (b'{"presses":[{"sku":"name3","vcpus":4.25,"memGb":5.25}]}'),
        (
            b'{"presses":[{"sku":"name3","vcpus":4.25,"memGb":5.25,"cards":0.0,"localGb":0.0,"'
            b'fetchGbPerS":1.0,"rate":1.0,"spotPrice":null,"readyS":30.0,"parcels":[]}]}'
        ),
        ([("name3", 4.25, 5.25, 0.0, 0.0, 1.0, 1.0, None, 30.0, [])],),
    ),
    "Listed": JsonForm(
        (
            b'{"ref":"name1","press":"type2","parcel":"zone3","stage":"state4","address":"addr'
            b'ess5","gleaning":true,"ageS":7.25}'
        ),
        ("name1", "type2", "zone3", "state4", "address5", True, 7.25),
        (b'{"ref":"name1","press":"type2","parcel":"zone3","stage":"state4"}'),
        (
            b'{"ref":"name1","press":"type2","parcel":"zone3","stage":"state4","address":"","g'
            b'leaning":false,"ageS":0.0}'
        ),
        ("name1", "type2", "zone3", "state4", "", False, 0.0),
    ),
    "MachineList": JsonForm(
        (
            b'{"vats":[{"ref":"name3","press":"type4","parcel":"zone5","stage":"state6","addre'
            b'ss":"address7","gleaning":true,"ageS":9.25}],"truncated":true}'
        ),
        ([("name3", "type4", "zone5", "state6", "address7", True, 9.25)], True),
        (b'{"vats":[{"ref":"name3","press":"type4","parcel":"zone5","stage":"state6"}]}'),
        (
            b'{"vats":[{"ref":"name3","press":"type4","parcel":"zone5","stage":"state6","addre'
            b'ss":"","gleaning":false,"ageS":0.0}],"truncated":false}'
        ),
        ([("name3", "type4", "zone5", "state6", "", False, 0.0)], False),
    ),
    "Hire": JsonForm(
        (b'{"hire":"request1","press":"type2","parcel":"zone3","gleaning":true,"howMany":5}'),
        ("request1", "type2", "zone3", True, 5),
        (b'{"hire":"request1","press":"type2","parcel":"zone3","gleaning":true,"howMany":5}'),
        (b'{"hire":"request1","press":"type2","parcel":"zone3","gleaning":true,"howMany":5}'),
        ("request1", "type2", "zone3", True, 5),
    ),
    "Names": JsonForm(
        (b'{"vats":["machines2"]}'),
        (["machines2"],),
        (b'{"vats":["machines2"]}'),
        (b'{"vats":["machines2"]}'),
        (["machines2"],),
    ),
    "StoredItem": JsonForm(
        (b'{"path":"key1","v":{"k":2},"stamp":3}'),
        ("key1", b'{"k":2}', 3),
        (b'{"path":"key1","v":{"k":2},"stamp":3}'),
        (b'{"path":"key1","v":{"k":2},"stamp":3}'),
        ("key1", b'{"k":2}', 3),
    ),
    "StoredPage": JsonForm(
        (b'{"items":[{"path":"key3","v":{"k":4},"stamp":5}],"ledger":6,"truncated":true}'),
        ([("key3", b'{"k":4}', 5)], 6, True),
        (b'{"items":[{"path":"key3","v":{"k":4},"stamp":5}],"ledger":6}'),
        (b'{"items":[{"path":"key3","v":{"k":4},"stamp":5}],"ledger":6,"truncated":false}'),
        ([("key3", b'{"k":4}', 5)], 6, False),
    ),
    "Event": JsonForm(
        (b'{"stamp":1,"write":"put3","remove":"delete5","v":{"k":6}}'),
        (1, "put3", "delete5", b'{"k":6}'),
        (b'{"stamp":1}'),
        (b'{"stamp":1,"write":null,"remove":null,"v":null}'),
        (1, None, None, b"null"),
    ),
    "Events": JsonForm(
        (b'{"ledger":1,"log":[{"stamp":4,"write":"put6","remove":"delete8","v":{"k":9}}]}'),
        (1, [(4, "put6", "delete8", b'{"k":9}')]),
        (b'{"ledger":1}'),
        (b'{"ledger":1,"log":[]}'),
        (1, []),
    ),
    "Revision": JsonForm(
        (b'{"ledger":1,"failed":["failed3"]}'),
        (1, ["failed3"]),
        (b'{"ledger":1}'),
        (b'{"ledger":1,"failed":[]}'),
        (1, []),
    ),
    "Condition": JsonForm(
        (b'{"path":"key1","stamp":2}'),
        ("key1", 2),
        (b'{"path":"key1","stamp":2}'),
        (b'{"path":"key1","stamp":2}'),
        ("key1", 2),
    ),
    "Put": JsonForm(
        (b'{"write":"key1","v":{"k":2},"permit":4}'),
        ("key1", b'{"k":2}', 4),
        (b'{"write":"key1","v":{"k":2}}'),
        (b'{"write":"key1","v":{"k":2}}'),
        ("key1", b'{"k":2}', None),
    ),
    "Delete": JsonForm(
        (b'{"remove":"key1"}'), ("key1",), (b'{"remove":"key1"}'), (b'{"remove":"key1"}'), ("key1",)
    ),
    "LeaseGrant": JsonForm((b'{"permit":1}'), (1,), (b'{"permit":1}'), (b'{"permit":1}'), (1,)),
    "LeaseRequest": JsonForm((b'{"ttlMs":1}'), (1,), (b'{"ttlMs":1}'), (b'{"ttlMs":1}'), (1,)),
}


RECORDS: dict[str, JsonForm] = {
    "Record": JsonForm(
        (
            b'{"stage":"stage1","tasks":2,"spec":{"ref":"id5","vintage":"job_class6","crew":"t'
            b'eam7","cut":"kind8","rank":"rank9","rows":10,"vcpus":11.25,"cards":12.25,"memGb"'
            b':13.25,"cask":"image14","pullGb":15.25,"presses":["types18","types19"],"parcel":'
            b'"zone21","oneZone":true,"spread":true,"gleaning":true,"ripenS":25.25,"rackS":26.'
            b'25,"bottleS":27.25,"harvestS":29.25},"at":30.25,"ranges":[[33,34,35]],"finished"'
            b':"finished36","zone":"zone38","attempt":39,"caps":[[42,"caps43",44]],"count":45,'
            b'"chunk_tasks":46,"spec_text":["digest49",50]}'
        ),
        (
            "stage1",
            2,
            (
                "id5",
                "job_class6",
                "team7",
                "kind8",
                "rank9",
                10,
                11.25,
                12.25,
                13.25,
                "image14",
                15.25,
                ("types18", "types19"),
                "zone21",
                True,
                True,
                True,
                25.25,
                26.25,
                27.25,
                29.25,
            ),
            30.25,
            [(33, 34, 35)],
            "finished36",
            "zone38",
            39,
            [(42, "caps43", 44)],
            45,
            46,
            ("digest49", 50),
        ),
        (b'{"stage":"stage1","tasks":2}'),
        (b'{"stage":"stage1","tasks":2}'),
        ("stage1", 2, None, 0.0, [], "", None, 0, [], 0, 0, None),
    ),
    "Node": JsonForm(
        (b'{"incarnation":"incarnation1","deaf":true,"reads":3}'),
        ("incarnation1", True, 3),
        (b'{"incarnation":"incarnation1"}'),
        (b'{"incarnation":"incarnation1","deaf":false,"reads":1}'),
        ("incarnation1", False, 1),
    ),
    "Owner": JsonForm(
        (b'{"node":"node1","incarnation":"incarnation2"}'),
        ("node1", "incarnation2"),
        (b'{"node":"node1","incarnation":"incarnation2"}'),
        (b'{"node":"node1","incarnation":"incarnation2"}'),
        ("node1", "incarnation2"),
    ),
    "FormatRecord": JsonForm(
        (b'{"format":1,"legacy_chunk_tasks":2}'),
        (1, 2),
        (b'{"format":1,"legacy_chunk_tasks":2}'),
        (b'{"format":1,"legacy_chunk_tasks":2}'),
        (1, 2),
    ),
}


MESSAGES: dict[str, PackedForm] = {
    "Heartbeat": PackedForm(
        (
            "9da9686561727462656174a56e6f646531ac696e6361726e6174696f6e320304cb40150000000000"
            "00cb40190000000000009194a46a6f62390a0b0c919d0f10c3cb4032400000000000cb4033400000"
            "000000919ba66e616d653232a6747970653233a67a6f6e653234c393cb403b400000000000cb403c"
            "400000000000cb403d40000000000093cb403f400000000000cb4040200000000000cb4040a00000"
            "00000022cb4041a00000000000a6666c61673336cb4042a0000000000093cb4043a00000000000cb"
            "4044200000000000cb4044a000000000009192a86d617472697834349191913081a977616974696e"
            "6735303391aa7265736572766564353381a972756e6e696e6735353891a66b657074353891a77265"
            "616479363081a5757365363292cb4050100000000000cb405050000000000091aa72656c65617365"
            "64363791a7647261696e3639919248494a"
        ),
        (
            "node1",
            "incarnation2",
            3,
            4,
            5.25,
            6.25,
            [("job9", 10, 11, 12)],
            [
                (
                    15,
                    16,
                    True,
                    18.25,
                    19.25,
                    [
                        (
                            "name22",
                            "type23",
                            "zone24",
                            True,
                            (27.25, 28.25, 29.25),
                            (31.25, 32.25, 33.25),
                            34,
                            35.25,
                            "flag36",
                            37.25,
                            (39.25, 40.25, 41.25),
                        )
                    ],
                    [("matrix44", [[[48]]])],
                    {"waiting50": 51},
                    ["reserved53"],
                    {"running55": 56},
                    ["kept58"],
                    ["ready60"],
                    {"use62": (64.25, 65.25)},
                )
            ],
            ["released67"],
            ["drain69"],
            [(72, 73)],
            74,
        ),
        (
            "9ba9686561727462656174a56e6f646531ac696e6361726e6174696f6e320304cb40150000000000"
            "00cb40190000000000009194a46a6f62390a0b0c91960f10c3cb4032400000000000cb4033400000"
            "0000009199a66e616d653232a6747970653233a67a6f6e653234c393cb403b400000000000cb403c"
            "400000000000cb403d40000000000093cb403f400000000000cb4040200000000000cb4040a00000"
            "00000022cb4041a00000000000a6666c6167333691aa72656c6561736564333891a7647261696e34"
            "30"
        ),
        (
            "9da9686561727462656174a56e6f646531ac696e6361726e6174696f6e320304cb40150000000000"
            "00cb40190000000000009194a46a6f62390a0b0c919d0f10c3cb4032400000000000cb4033400000"
            "000000919ba66e616d653232a6747970653233a67a6f6e653234c393cb403b400000000000cb403c"
            "400000000000cb403d40000000000093cb403f400000000000cb4040200000000000cb4040a00000"
            "00000022cb4041a00000000000a6666c61673336cb3ff000000000000093cb0000000000000000cb"
            "0000000000000000cb00000000000000009080908090908091aa72656c6561736564333891a76472"
            "61696e34309000"
        ),
        (
            "node1",
            "incarnation2",
            3,
            4,
            5.25,
            6.25,
            [("job9", 10, 11, 12)],
            [
                (
                    15,
                    16,
                    True,
                    18.25,
                    19.25,
                    [
                        (
                            "name22",
                            "type23",
                            "zone24",
                            True,
                            (27.25, 28.25, 29.25),
                            (31.25, 32.25, 33.25),
                            34,
                            35.25,
                            "flag36",
                            1.0,
                            (0.0, 0.0, 0.0),
                        )
                    ],
                    [],
                    {},
                    [],
                    {},
                    [],
                    [],
                    {},
                )
            ],
            ["released38"],
            ["drain40"],
            [],
            0,
        ),
    ),
    "Cancelled": PackedForm(
        ("93a963616e63656c6c656494a46a6f623203040506"),
        (("job2", 3, 4, 5), 6),
        ("92a963616e63656c6c656494a46a6f6232030405"),
        ("93a963616e63656c6c656494a46a6f623203040500"),
        (("job2", 3, 4, 5), 0),
    ),
    "Forward": PackedForm(
        ("95a7666f7277617264a76d6574686f6431a57061746832c402623304"),
        ("method1", "path2", b"b3", 4),
        ("94a7666f7277617264a76d6574686f6431a57061746832c4026233"),
        ("95a7666f7277617264a76d6574686f6431a57061746832c402623300"),
        ("method1", "path2", b"b3", 0),
    ),
    "Forwarded": PackedForm(
        ("95a9666f7277617264656401c4026232ac72657472795f61667465723304"),
        (1, b"b2", "retry_after3", 4),
        ("94a9666f7277617264656401c4026232ac72657472795f616674657233"),
        ("95a9666f7277617264656401c4026232ac72657472795f61667465723300"),
        (1, b"b2", "retry_after3", 0),
    ),
    "SplitRequest": PackedForm(
        (
            "93a573706c6974de0014a3726566a3696432a776696e74616765aa6a6f625f636c61737333a46372"
            "6577a57465616d34a3637574a56b696e6435a472616e6ba572616e6b36a4726f777307a576637075"
            "73cb4020800000000000a56361726473cb4022800000000000a56d656d4762cb4024800000000000"
            "a46361736ba7696d6167653131a670756c6c4762cb4028800000000000a77072657373657392a774"
            "797065733135a774797065733136a670617263656ca67a6f6e653138a76f6e655a6f6e65c3a67370"
            "72656164c3a8676c65616e696e67c3a6726970656e53cb4036400000000000a57261636b53cb4037"
            "400000000000a7626f74746c6553cb4038400000000000a86861727665737453cb403a4000000000"
            "001b"
        ),
        (
            (
                "id2",
                "job_class3",
                "team4",
                "kind5",
                "rank6",
                7,
                8.25,
                9.25,
                10.25,
                "image11",
                12.25,
                ("types15", "types16"),
                "zone18",
                True,
                True,
                True,
                22.25,
                23.25,
                24.25,
                26.25,
            ),
            27,
        ),
        (
            "92a573706c697489a3726566a3696432a776696e74616765aa6a6f625f636c61737333a463726577"
            "a57465616d34a3637574a56b696e6435a472616e6ba572616e6b36a4726f777307a57663707573cb"
            "4020800000000000a56361726473cb4022800000000000a56d656d4762cb4024800000000000"
        ),
        (
            "93a573706c6974de0009a3726566a3696432a776696e74616765aa6a6f625f636c61737333a46372"
            "6577a57465616d34a3637574a56b696e6435a472616e6ba572616e6b36a4726f777307a576637075"
            "73cb4020800000000000a56361726473cb4022800000000000a56d656d4762cb4024800000000000"
            "00"
        ),
        (
            (
                "id2",
                "job_class3",
                "team4",
                "kind5",
                "rank6",
                7,
                8.25,
                9.25,
                10.25,
                "",
                0.0,
                None,
                None,
                False,
                False,
                False,
                1.0,
                0.0,
                0.0,
                None,
            ),
            0,
        ),
    ),
    "SplitAnswer": PackedForm(
        ("94ac73706c69745f616e737765729193030405a57a6f6e653708"),
        ([(3, 4, 5)], "zone7", 8),
        ("92ac73706c69745f616e737765729193030405"),
        ("94ac73706c69745f616e737765729193030405c000"),
        ([(3, 4, 5)], None, 0),
    ),
    "Ack": PackedForm(("92a361636b01"), (1,), ("91a361636b"), ("92a361636b00"), (0,)),
}
