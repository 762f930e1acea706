//! Settings of a small deployment with two rooms, as the platform hands them to a front end.

/// The configuration of one front end. `report` gives the effect of the class `report`, `known` the list of engines
/// at its start, and `more` further members.
pub fn config(report: &str, known: &str, bulletin: &str, more: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{{LISTEN}}","seed":"5b1d0c7790ae3f21","bulletin":"{bulletin}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},{more}
 "settings":{{"Azs":["room-a","room-b"],"Zone":"room-a","Balancers":2,"Me":0,"MachineTypes":["std-8"],
  "Classes":[
   {{"Name":"lookup","OnTime":500,"AimStretch":1.5,"HardLimit":2500,"LateWorth":0.1,"Repeat":"pure","Value":1}},
   {{"Name":"report","OnTime":3000,"AimStretch":2.5,"HardLimit":15000,"LateWorth":0.3,{report},"Value":20}},
   {{"Name":"delivery-load","OnTime":3000,"AimStretch":3,"HardLimit":25000,"LateWorth":0.6,"Repeat":"side_effect","Value":30}}],
  "Parties":[{{"Name":"leinster","QuotaPerS":28,"Share":0.45}},{{"Name":"munster","QuotaPerS":20,"Share":0.32}}],
  "Domain":{{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1,3,2],"ClassLoad":[false,false,true],
   "ClassWaits":[false,false,false],"LargestShare":0.4,"OutOfMemory":"line_up","Grants":true,"Priorities":true,
   "TellsCost":true,"TellsEvery":500}},
  "Contract":{{"DrainGrace":250,"StartCapacity":0.3,"WarmWithin":15000,"FallMultiple":3,"Fall":1500,"GraceToAnswer":20}},
  "Limits":{{"Cancel":true,"SendCap":6,"DialTimeout":250,"ConnIdle":15000,"MaxOpen":3000,"StreamsPerConn":100,
   "MaxRetryAfter":1000,"RetryAfter":false,"SecondCopies":false}},
  "Report":{{"How":"off"}}}}}}"#
    )
}
