"""Style sheet of the report's page."""

__all__ = ["STYLE"]

STYLE = """
:root{--ink:#1c2733;--soft:#5f6c7b;--line:#dfe4ea;--card:#fff;--back:#f4f6f8;--ok:#1f7a5c;
--warn:#b7791f;--bad:#c0392b;--a:#c0392b;--b:#2b6cb0}
@media (prefers-color-scheme:dark){:root{--ink:#e6ebf0;--soft:#9aa7b4;--line:#33404d;
--card:#1d2630;--back:#131a21;--ok:#4cc39a;--warn:#e0a84a;--bad:#ef7f72;--a:#ef7f72;--b:#7db3ea}}
*{box-sizing:border-box}
body{margin:0;background:var(--back);color:var(--ink);font:15px/1.5 system-ui,sans-serif}
main{max-width:1080px;margin:0 auto;padding:32px 20px}
h1{margin:0;font-size:26px}h2{margin:0;font-size:20px}h3{margin:0 0 8px;font-size:14px}
header p,.promise,footer,.note{color:var(--soft);margin:4px 0 16px}
section,aside,.overview{background:var(--card);border:1px solid var(--line);border-radius:10px;
padding:20px;margin:0 0 20px;width:100%}
aside{border-left:4px solid var(--warn)}aside ul{margin:6px 0 0;padding-left:18px}
.overview{border-spacing:0}.overview td,.overview th{padding:6px 10px;text-align:left;
border-bottom:1px solid var(--line)}.overview tr:last-child td{border-bottom:0}
.n{text-align:right!important;font-variant-numeric:tabular-nums}a{color:inherit}
.state{font-size:12px;font-weight:600;padding:2px 9px;border-radius:99px;color:#fff;
vertical-align:middle}.state.ok{background:var(--ok)}.state.warn{background:var(--warn)}
.state.bad{background:var(--bad)}
.bar{height:10px;border-radius:5px;background:var(--line);overflow:hidden}
.bar div{height:100%;background:var(--ok)}.budget p{margin:6px 0 16px;color:var(--soft)}
.windows{display:grid;grid-template-columns:repeat(auto-fit,minmax(190px,1fr));gap:12px}
.window{border:1px solid var(--line);border-top:3px solid var(--ok);border-radius:8px;
padding:10px 14px}.window.warn{border-top-color:var(--warn)}.window.bad{border-top-color:var(--bad)}
.window span,.window small{color:var(--soft);display:block}.window b{font-size:24px}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(300px,1fr));gap:16px;
margin:18px 0}figure{margin:0}figcaption{font-size:13px;color:var(--soft);margin-bottom:4px}
svg{width:100%;height:auto;display:block}svg text{fill:var(--soft);font:10px system-ui,sans-serif}
.causes{display:grid;grid-template-columns:repeat(auto-fit,minmax(260px,1fr));gap:20px}
.causes ul{list-style:none;margin:0;padding:0}.causes li{position:relative;padding:3px 8px;
margin-bottom:4px;display:flex;justify-content:space-between;gap:8px}
.causes i{position:absolute;left:0;top:0;bottom:0;background:var(--a);opacity:.16;
border-radius:4px}.causes em{font-style:normal;color:var(--soft);
font-variant-numeric:tabular-nums}
"""
